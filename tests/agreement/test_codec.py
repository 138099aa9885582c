"""Encoding and decoding of stored records."""

import pytest

from runloft.agreement.codec import (
    decode_committed,
    decode_lease,
    decode_stage,
    decode_verdict,
    encode_committed,
    encode_lease,
    encode_stage,
    encode_verdict,
)
from runloft.agreement.errors import RecordError
from runloft.agreement.records import CommittedGeneration, Lease, Stage, Verdict
from tests.support.agreement import CONTENTS


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"format": 2}', '{"format": 1}', '{"format":1,"generation":"x"}']
)
def test_a_text_that_is_no_record_raises_record_error(text):
    for decode in (decode_committed, decode_stage, decode_lease, decode_verdict):
        with pytest.raises(RecordError):
            decode(text)


def test_encoded_records_decode_to_equal_records():
    committed = CommittedGeneration(3, CONTENTS[0], 5, CONTENTS[1], "t.0", "me")
    assert decode_committed(encode_committed(committed)) == committed
    stage = Stage("t.0", 4, CONTENTS[1], "me")
    assert decode_stage(encode_stage(stage)) == stage
    lease = Lease("s", "i", 3, "d", "o", 1, 2, 9, 4.0, 5, 4, 6, 7, True)
    assert decode_lease(encode_lease(lease)) == lease
    verdict = Verdict("s", "i", "t.0", ("no",))
    assert decode_verdict(encode_verdict(verdict)) == verdict

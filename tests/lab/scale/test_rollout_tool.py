"""The contents that the rollout tool commits."""

from runloft.agreement.content import content_of_file
from runloft.lab.scale.rollout_tool import plan_with_new_parts
from runloft.lab.scale.scheduler_config import config_document, volume_rows


def test_each_change_has_a_different_content():
    document = config_document("s", "127.0.0.1:1", "redis://127.0.0.1:1/0", "", 3000, volume_rows(3))
    own = content_of_file(document)
    (first,), (second,), (first_without_committed,) = (
        plan_with_new_parts(1, own)(own),
        plan_with_new_parts(2, own)(own),
        plan_with_new_parts(1, own)(None),
    )
    assert len({own.digest, first.digest, second.digest}) == 3 and first_without_committed == first

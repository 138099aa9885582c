"""The contents that the roll-out tool commits."""

from runloft.agreement.content import content_of
from runloft.lab.scale.rollout_tool import changed
from runloft.lab.scale.scheduler_config import config_document, volume_rows


def test_each_change_has_another_content():
    own = content_of(config_document("s", "127.0.0.1:1", "redis://127.0.0.1:1/0", "", 3000, volume_rows(3)))
    (one,), (two,), (first,) = changed(1, own)(own), changed(2, own)(own), changed(1, own)(None)
    assert len({own.digest, one.digest, two.digest}) == 3 and first == one

"""The events of a scale run."""

from runloft.lab.scale.events import EVENTS
from runloft.lab.scale.options import EVENT_NAMES


def test_options_name_every_event():
    assert tuple(EVENTS) == EVENT_NAMES

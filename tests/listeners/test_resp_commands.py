"""Translation of commands into requests, and rejection of invalid commands."""

import pytest

from runloft.config.platform_config import config_from_json
from runloft.listeners.resp.commands import NETWORK_DELAY_ALLOWANCE_NS, BadCommandError, CommandTranslator
from tests.support.driver import MS
from tests.support.standins import config

ID = b"9b1f03aa5c7e2d41"
GOOD = b"c=position-read,t=basic,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"
CONFIG = config_from_json(config("127.0.0.1:1", []))


def translate(attributes=GOOD, piece=ID, id_=ID, word=b"IO.IN", body=()):
    return CommandTranslator(CONFIG).translate([word, piece, id_, attributes, *body])


def test_a_command_is_translated_field_by_field():
    request = translate(GOOD + b",r=1")
    assert (request.volume, request.units, request.shard, request.volume_hosts) == (0x3B4D60021, 2.0, 5, 3.0)
    assert (
        request.time_left_ns == 480 * MS - NETWORK_DELAY_ALLOWANCE_NS
        and request.is_client_retry
        and request.id == ID
    )
    assert b"".join(request.payload.encode_attempt(7 * MS)).count(b"d=7,volume=00000003b4d60021") == 1
    assert translate(GOOD.replace(b"shard=5", b"shard=-1")).shard is None


@pytest.mark.parametrize(
    "old, new",
    [
        (b"d=480", b"d=-480"),
        (b"d=480", b"d=+480"),
        (b"d=480", b"d=4_80"),
        (b"d=480", b"d= 480"),
        (b"d=480", b"d=nan"),
        (b"d=480", b"d=1e3"),
        (b"d=480", b"d=0"),
        (b"d=480", b"d="),
        (b"d=480", b"d=480,d=480"),
        (b"d=480,", b""),
        (b",hosts=3", b""),
        (b",hosts=3", b",hosts=3,"),
        (b",hosts=3", b",hosts=3,other=1"),
        (b"units=2", b"units=7"),
        (b"shard=5", b"shard=70000"),
        (b"shard=5", b"shard=-2"),
        (b"shard=5", b"shard=1_0"),
        (b"volume=00000003b4d60021", b"volume=3b4d60021"),
        (b"volume=00000003b4d60021", b"volume=+0000003b4d60021"),
        (b"c=position-read", b"c=position-read2"),
        (b"c=position-read", b"c=report-write"),
        (b"t=basic", b"t=gold"),
    ],
)
def test_attributes_that_deviate_are_rejected(old, new):
    assert old in GOOD
    with pytest.raises(BadCommandError):
        translate(GOOD.replace(old, new))


@pytest.mark.parametrize(
    "arguments",
    [
        {"id_": b""},
        {"id_": ID[:15]},
        {"id_": ID + b"0"},
        {"piece": b"0x" + ID[2:]},
        {"body": (b"x",)},
        {"word": b"IO.OUT", "body": (b"x",)},
    ],
)
def test_ids_of_another_width_and_missing_arguments_are_rejected(arguments):
    with pytest.raises(BadCommandError):
        translate(**arguments)

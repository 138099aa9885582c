"""Base classes and attributes of network errors."""

import errno

from runloft.discovery.errors import WATCH_ERRORS, WatchStatusError
from runloft.errors import RunloftError
from runloft.net.connecting import ConnectError
from runloft.net.resp2 import RespError
from runloft.placement.store import StoreUnavailableError
from runloft.upstream.errors import LOCAL_CONNECT_ERRORS, UnwritableRequestError, UpstreamProtocolError

PEER = ("127.0.0.1", 9)


def test_errors_share_the_base_of_the_package_and_keep_their_builtin_base():
    bases = {ConnectError: OSError, RespError: ValueError, WatchStatusError: OSError}
    bases |= {UpstreamProtocolError: ValueError, UnwritableRequestError: ValueError}
    for error, builtin in bases.items():
        assert issubclass(error, RunloftError) and issubclass(error, builtin)
    assert issubclass(StoreUnavailableError, RunloftError)


def test_local_connect_errors_do_not_include_what_a_peer_causes():
    assert not LOCAL_CONNECT_ERRORS & {
        errno.ECONNREFUSED,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
    }


def test_status_error_names_peer_and_status_and_reopens_the_watch():
    error = WatchStatusError(503, PEER)
    assert (error.status, error.peer) == (503, PEER)
    assert str(error) == "discovery at 127.0.0.1:9 returned HTTP status 503, expected 200"
    assert isinstance(error, WATCH_ERRORS)


def test_store_error_names_its_key():
    assert StoreUnavailableError("no answer", "runloft:object:v:k").key == "runloft:object:v:k"

"""Template for ``config write``: a complete and valid operator's file that is then edited."""

import re

APPLICATION_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
VOLUME_ID_BYTES = 8

TEMPLATE = """\
# runloft as the sidecar of {name}.  Check this file with: python -m runloft config check FILE
# Times under [settings] are in nanoseconds; the keys are those of the simulator's first message.
name = "{name}"
listen = "127.0.0.1:6379"         # RESP2
discovery = "127.0.0.1:8500"      # the agent on this machine
seed = "0"                        # hexadecimal

[limits]
sockets = 1024

[objects]                         # without this table the object API is off
listen = "127.0.0.1:8080"
store = "redis://127.0.0.1:6380/0" # shared store for locations of objects and uploads
unit_bytes = 65536                # bytes that count as one unit of a request
max_body = 8388608
server_port = 8081                # port of object servers without object_endpoint in the node list

[objects.classes]                 # class of each operation, by its Name in settings.Classes
get = "history-export"
head = "position-read"
put = "report-write"
delete = "report-write"
create = "report-write"
part = "report-write"
complete = "report-write"
abort = "report-write"
parts = "position-read"

[objects.volumes.{name}]          # one table per volume, by the NAME in /volumes/NAME/objects/KEY
id = "{volume}"
plan = "standard"
hosts = 1                         # number of sidecars that serve the volume

[settings]
GroupSize = 1
SlotNo = 0
Tick = 2000000
Localities = ["busan-dc1"]

[[settings.Classes]]
Name = "position-read"
Target = 400000000
HardLimit = 2500000000
Importance = 2.0
LateValue = 0.1
Effect = "retryable"
Group = "all"

[[settings.Classes]]
Name = "report-write"
Target = 600000000
HardLimit = 5000000000
Importance = 2.0
LateValue = 0.15
Effect = "retryable"
Group = "all"

[[settings.Classes]]
Name = "history-export"
Target = 1500000000
HardLimit = 5000000000
Importance = 1.0
LateValue = 0.3
Effect = "retryable"
Group = "all"

[[settings.ServiceLevels]]
Name = "basic"
BaseRate = 3.0
Guaranteed = 0.0
Parts = 1.0
ValueFactor = 0.8

[[settings.ServiceLevels]]
Name = "standard"
BaseRate = 4.5
Guaranteed = 4.5
Parts = 2.0
ValueFactor = 0.9

[[settings.ServiceLevels]]
Name = "premium"
BaseRate = 12.0
Guaranteed = 9.6
Parts = 6.0
ValueFactor = 1.4

[settings.Extra]
ClassWrites = [false, true, false]
ColdUnits = 12.0
MaxUnits = 6
UsualUnits = 2.08
WithinShare = 0.3
BeyondShare = 0.08

[settings.Limits]
AttemptsCap = 3
Cancel = true
ConnIdle = 15000000000
ConnectTimeout = 250000000
MaxRetryAfter = 2000000000

[settings.Safety]
Cold = 18000000000
ColdFrom = 0.23
DrainGrace = 1000000000
Fall = 2000000000
FallMultiple = 2.0
"""


def operator_template(application: str) -> str:
    """Return the file for an application; raise ValueError if its name is not a valid volume name."""
    if not APPLICATION_NAME.fullmatch(application):
        raise ValueError(
            "an application's name consists of up to 64 lower-case letters, digits and inner hyphens"
        )
    last_bytes = application.encode()[-VOLUME_ID_BYTES:]
    return TEMPLATE.format(name=application, volume=last_bytes.hex().rjust(2 * VOLUME_ID_BYTES, "0"))

"""Patterns of the scheduler's log lines that the laboratory waits for; the first group is the address."""

import re

SERVING = re.compile(r"serving .*at=(127\.0\.0\.1:\d+) front=RespListener")
ADMIN_SERVING = re.compile(r"serving .*at=(127\.0\.0\.1:\d+) front=admin")

"""The values that a sidecar serves where its file differs from the committed generation."""

import json
from pathlib import Path

from runloft.agreement.content import content_from_json, content_of_file
from runloft.agreement.effective import Effective, effective, refusals
from runloft.config.operator.file import check_file

SIDECAR = Path(__file__).parents[1] / "config" / "files" / "sidecar.toml"


def test_committed_figures_replace_the_files_and_each_difference_is_reported():
    raw = check_file(str(SIDECAR)).document
    file_content = content_of_file(raw)
    assert effective(raw, file_content) == Effective(raw) and refusals(raw, file_content) == []
    other = content_from_json(json.loads(json.dumps(file_content.as_json())))
    assert other.digest == file_content.digest
    other.plans["standard"]["Parts"] = 4.0
    other.volumes["tracks"]["hosts"] = 3.0
    del other.volumes["logs"]
    result = effective(raw, other)
    assert [str(difference) for difference in result.differences] == [
        "plan standard: Parts is 2.0 in the file, 4.0 committed",
        "volume tracks: hosts is 2.0 in the file, 3.0 committed",
    ]
    assert result.suspended_volumes == {"logs"} and result.suspended_plans == frozenset()
    assert result.raw["settings"]["ServiceLevels"][1]["Parts"] == 4.0
    assert result.raw["listen"] == raw["listen"] and raw["settings"]["ServiceLevels"][1]["Parts"] == 2.0
    assert refusals(raw, other) == ["volume logs is in the sidecar's file, but not in the generation"]
    other.plans["standard"]["Guaranteed"] = 400.0  # rejected by the checks of the sidecar's own file
    assert any("[reserve-above-rate]" in text for text in refusals(raw, other))

"""The files that the page names as mechanisms."""

import re

from runloft.lab.scale.capacity_page import mechanisms
from tests.support.capacity import PAGE


def test_each_mechanism_names_files_that_exist():
    texts = [text for name, text in vars(mechanisms).items() if name.isupper()]
    files = {file for text in texts for file in re.findall(r"[a-z_/]+\.py", text)}
    package = PAGE.parents[1] / "runloft"
    assert len(files) > 10 and [file for file in files if not (package / file).is_file()] == []

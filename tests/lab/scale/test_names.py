"""Scheduler names."""

from runloft.lab.scale.names import scheduler_name


def test_scheduler_names_have_35_bytes_and_divide_into_zones_and_regions():
    names = [scheduler_name(number, 450) for number in range(450)]
    assert {len(name) for name in names} == {35} and len(set(names)) == 450
    assert sum(".region-00" in name for name in names) == 225
    assert len({name.split(".")[1] for name in names}) == 7

"""Schedules in which clients leave right after their requests, nodes fail, and processes are held up."""

from runloft.lab.soak.schedule import NODES, Fault, FaultKind, Schedule, check_size

NODE_ERROR_PROBABILITY = 0.5
LEAVE_PROBABILITY = 0.9
PIPELINE_PROBABILITY = 0.2


def draw_departures(seed: int, processes: int, seconds: float, stop_s: float) -> Schedule:
    """Return a schedule whose faults last as long as the run; each stop of a process takes ``stop_s``.

    The seed determines the clients' requests and the stops' times.  Raise ScheduleError for an invalid size.
    """
    check_size(processes, seconds)
    faults = [
        Fault(FaultKind.NODE_ERROR, 0.0, seconds, node, NODE_ERROR_PROBABILITY) for node in range(NODES)
    ]
    for process in range(processes):
        faults.append(Fault(FaultKind.CLIENT_LEAVE, 0.0, seconds, process, LEAVE_PROBABILITY))
        faults.append(Fault(FaultKind.CLIENT_PIPELINE, 0.0, seconds, process, PIPELINE_PROBABILITY))
        if stop_s:
            faults.append(Fault(FaultKind.PROCESS_STOP, 0.0, seconds, process, stop_s))
    return Schedule(seed, processes, seconds, tuple(faults))

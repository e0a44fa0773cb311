"""Patterns of load beyond what servers can run, for `slots_world`.

Four servers of four slots run requests of 110 ms on average for four nodes. Rejected callers
return once. The calls of ``BURST_MS`` are counted, after some seconds of less load.
"""

import math
from dataclasses import replace

from ploverhatch.experiment.slots_world import LoadPhase, RequestKind, SlotScenario

BURST_MS = 8000.0
SHORT_BURSTS_MS = (500.0, 1000.0, 2000.0)
SHORT_PAUSE_MS = 1000.0  # of less load after a short burst
CALM_BEFORE = LoadPhase(3000.0, 0.4, counted=False)
CALM_AFTER = LoadPhase(1500.0, 0.4, counted=False)

BURST = SlotScenario(
    nodes=4,
    servers=4,
    load=1.7,
    slots=4,
    speeds=(1.0,),
    service_ms=110.0,
    spread=math.sqrt(math.exp(0.5**2) - 1),  # the lognormal distribution of a sigma of 0.5
    tail_share=0.0,
    max_service_ms=math.inf,
    objective_ms=250.0,
    deadline_ms=1000.0,
    hop_ms=0.3,
    zones=1,
    phases=(CALM_BEFORE, LoadPhase(BURST_MS, 1.0), CALM_AFTER),
    returning=True,
)
_URGENT = RequestKind("urgent", 1.0, BURST.objective_ms, BURST.deadline_ms)
_PATIENT = RequestKind("patient", 1.0, 800.0, 1200.0, priority=2)
_SHORT_BURSTS = tuple(
    phase
    for burst_ms in SHORT_BURSTS_MS
    for phase in (LoadPhase(burst_ms, 1.0), replace(CALM_BEFORE, duration_ms=SHORT_PAUSE_MS))
)

PATTERNS: dict[str, SlotScenario] = {
    "burst, 1.7 times the room": BURST,
    "1.3 times, 3 in 10 repeat at once": replace(
        BURST, load=1.3, kinds=(replace(_URGENT, repeating=0.3),)
    ),
    "classes, urgent 0.5 and patient 1.0": replace(
        BURST, load=1.5, kinds=(replace(_URGENT, share=1 / 3), replace(_PATIENT, share=2 / 3))
    ),
    "uneven servers, 0.8": replace(BURST, load=0.8, speeds=(0.5, 1.0, 1.0, 1.5)),
    "short bursts, 1.7": replace(BURST, phases=(CALM_BEFORE, *_SHORT_BURSTS, CALM_AFTER)),
}

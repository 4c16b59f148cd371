"""Configuration of the Atlas deployment: 3 data centres, 12 engines, 20 models, 60 adapters.

    python3 examples/atlas.py | waxwing validate -
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "operator"))

from waxwing_config import Fleet  # noqa: E402

DATA_CENTRES = ["dc-north", "dc-south", "dc-west"]

fleet = Fleet(loads_per_second=1.5, concurrent_loads=10, concurrent_adapter_loads=90)

# Rates are in tokens a second. Warranty and counter callers wait for their answers; drafts run at
# night. A burst covers one minute at the rate.
for team, rate, weight in [
    ("warranty", 12_000, 4),
    ("counter", 10_000, 3),
    ("drafts", 8_000, 1),
    ("returns", 1_500, 1),
    ("training", 500, 1),
]:
    fleet.team(team, rate=rate, burst=60 * rate, weight=weight)

fleet.route("models", "/v1", kind="model", timeout_ms=60_000)
fleet.route("order-line", "/orders", kind="service", service="order-line", idempotency="claimed")
fleet.route(
    "order-status",
    "/orders/status",
    kind="service",
    service="order-line",
    idempotency="idempotent",
)

# The four models that callers wait for stay resident in two copies; the others follow demand.
for number in range(1, 5):
    fleet.model(
        f"reply-{number}",
        version="1",
        memory_mib=16_384,
        residency="pinned",
        min_copies=2,
    )
for number in range(5, 15):
    fleet.model(f"reply-{number}", version="1", memory_mib=16_384)
for number in range(1, 7):
    fleet.model(
        f"draft-{number}",
        version="1",
        memory_mib=49_152,
        span=2 if number > 4 else 1,
        max_tokens_default=1_024,
    )
for number in range(60):
    fleet.adapter(
        f"distributor-{number + 1}",
        model=f"reply-{number % 10 + 1}",
        version="1",
        memory_mib=96,
    )

for number in range(12):
    fleet.engine(
        f"engine-{number + 1}",
        vm=f"target-{number + 1}",
        data_centre=DATA_CENTRES[number % 3],
        address=f"10.1.{number % 3}.{number // 3 + 10}:9000",
        accelerators=2,
        accelerator_memory_mib=81_920,
        # The engines of the oldest generation ignore fencing numbers.
        checks_fencing=number >= 4,
        slots=32,
    )
for number in range(3):
    fleet.service_target(
        f"order-line-{number + 1}",
        vm=f"order-vm-{number + 1}",
        data_centre=DATA_CENTRES[number],
        address=f"10.1.{number}.100:8000",
        service="order-line",
        slots=64,
    )

if __name__ == "__main__":
    fleet.main()

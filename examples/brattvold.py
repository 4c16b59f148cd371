"""Configuration of the Brattvold deployment: 4 data centres, 9 engines, 13 models, 55 adapters.

    python3 examples/brattvold.py | waxwing validate -
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "operator"))

from waxwing_config import Fleet  # noqa: E402

DATA_CENTRES = ["dc-1", "dc-2", "dc-3", "dc-4"]

fleet = Fleet(loads_per_second=1.0, concurrent_loads=2, concurrent_adapter_loads=15)

# A rejected caller is a lost customer, so bursts are generous: two minutes at the rate.
for team, rate, weight in [
    ("shop", 9_000, 4),
    ("advice", 6_000, 3),
    ("catalogue", 5_000, 1),
    ("partners", 1_000, 2),
    ("reviews", 500, 1),
]:
    fleet.team(team, rate=rate, burst=120 * rate, weight=weight)

fleet.route("models", "/v1", kind="model", timeout_ms=60_000)
fleet.route("stock", "/shop/stock", kind="service", service="shop", access="open")
fleet.route("reservations", "/shop", kind="service", service="shop", idempotency="claimed")

# The weight store is slow, so every model that callers wait for stays resident.
for number in range(1, 6):
    fleet.model(
        f"advice-{number}",
        version="1",
        memory_mib=14_336,
        residency="pinned",
        min_copies=2,
    )
for number in range(1, 9):
    fleet.model(
        f"catalogue-{number}", version="1", memory_mib=28_672, max_tokens_default=1_024
    )
for number in range(55):
    fleet.adapter(
        f"brand-{number + 1}",
        model=f"advice-{number % 5 + 1}",
        version="1",
        memory_mib=64,
        residency="pinned" if number < 5 else "on_demand",
    )

for number in range(9):
    fleet.engine(
        f"engine-{number + 1}",
        vm=f"target-{number + 1}",
        data_centre=DATA_CENTRES[number % 4],
        address=f"10.2.{number % 4}.{number // 4 + 10}:9000",
        accelerators=1,
        accelerator_memory_mib=81_920,
        checks_fencing=number % 2 == 0,
        slots=24,
    )
for number in range(4):
    fleet.service_target(
        f"shop-{number + 1}",
        vm=f"shop-vm-{number + 1}",
        data_centre=DATA_CENTRES[number],
        address=f"10.2.{number}.100:8000",
        service="shop",
        slots=64,
    )

if __name__ == "__main__":
    fleet.main()

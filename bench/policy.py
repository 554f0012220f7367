"""Quick policy benchmark; exits nonzero when a stated goal is missed."""

import sys

from bench import _known_red
from wisteriawall.benchmark import suite

SEED = 1


def main() -> int:
    """Print figures and goals.

    Returns:
        The number of missed goals that KNOWN-RED.txt does not list.
    """
    report = suite.run(quick=True, seed=SEED)
    for row in report.rows:
        if row.group in ("ours", "baseline"):
            figures = row.figures
            print(
                f"{row.deployment} {row.trace} | {row.policy} | "
                f"goodput {figures.goodput:.3f} | "
                f"changes {figures.role_changes}"
            )
    known = _known_red.known_missed_goals("bench.policy")
    for goal in report.goals:
        verdict = "met" if goal.met else "MISSED"
        if not goal.met and goal.name in known:
            verdict = "KNOWN RED"
        print(f"{verdict}: {goal.name}: {goal.measured}; goal {goal.wanted}")
    return sum(not goal.met and goal.name not in known for goal in report.goals)


if __name__ == "__main__":
    sys.exit(main())

"""Quick policy benchmark; exits nonzero when a stated goal is missed."""

import sys

from wisteriawall.benchmark import suite

SEED = 1


def main() -> int:
    """Print each goal and the policies' figures; return the goals missed."""
    report = suite.run(quick=True, seed=SEED)
    for row in report.rows:
        if row.group in ("ours", "baseline"):
            figures = row.figures
            print(
                f"{row.deployment} {row.trace} | {row.policy} | "
                f"goodput {figures.goodput:.3f} | "
                f"changes {figures.role_changes}"
            )
    for goal in report.goals:
        word = "met" if goal.met else "MISSED"
        print(f"{word}: {goal.name}: {goal.measured}; goal {goal.wanted}")
    return sum(not goal.met for goal in report.goals)


if __name__ == "__main__":
    sys.exit(main())

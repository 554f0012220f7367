"""`python -m soak`."""

import sys

from soak import run

sys.exit(run.main())

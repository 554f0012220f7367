"""Settings that every test shares."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=60
)
hypothesis.settings.register_profile(
    "long", deadline=None, database=None, max_examples=3_000
)
hypothesis.settings.load_profile("ci")

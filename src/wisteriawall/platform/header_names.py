"""Header names that both the gateway and the control role send."""

__all__ = ["EXPECT_INSTANCE"]

# A runner with another identifier answers 421 and does nothing.
EXPECT_INSTANCE = "X-Wisteriawall-Expect-Instance"

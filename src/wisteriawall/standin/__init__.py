"""Stand-ins for the platform, used by tests and by the demo.

They replace model engines, plain services, the weight store and the VM list.
"""

"""Case that compares what callers get with what searchers sent.

Real nodes serve callers on kept connections while a share of the searchers'
answers is faulty. Run it with
``python -m kumquatchute_standins.platform.fleet.relay``.
"""

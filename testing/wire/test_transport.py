"""Tests of `wisteriawall.wire.transport`."""

import queue

from wisteriawall.wire import transport


def test_subscriber_hears_a_publisher_on_a_kernel_port() -> None:
    publisher = transport.Publisher(address="127.0.0.1:0")
    heard: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    subscriber = transport.Subscriber(receive=heard.put)
    subscriber.start()
    subscriber.follow({publisher.address})
    data = None
    while data is None:
        publisher.publish(b"load")
        try:
            data = heard.get(timeout=0.05)
        except queue.Empty:
            continue
    assert data == b"load"
    subscriber.follow(set())
    subscriber.close()
    publisher.close()

"""Tests of `wisteriawall.wire.transport`."""

import queue

from support import platform_site

from wisteriawall.demo import cluster
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


def test_links_tell_which_peers_are_not_connected() -> None:
    heard: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    addresses = {
        name: cluster.unused_loopback_address() for name in ("up", "down")
    }
    up = transport.PeerServer(address=addresses["up"], receive=heard.put)
    up.start()
    links = transport.PeerLinks(address_by_peer=addresses)
    platform_site.wait_until(lambda: links.unconnected == ["down"], "a link")
    down = transport.PeerServer(address=addresses["down"], receive=heard.put)
    down.start()
    links.reconnect("down")
    platform_site.wait_until(lambda: links.unconnected == [], "both links")
    links.send(peer="down", message=b"vote")
    assert heard.get(timeout=platform_site.WAIT_S) == b"vote"
    for opened in (links, up, down):
        opened.close()

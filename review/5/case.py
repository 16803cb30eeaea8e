"""STALE: a purge by site and path is acknowledged and does nothing where the site's name holds capital letters."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import Client, Deployment, Operator, Record, Upstream, now  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The configuration, the purge and the clients all write the name alike.
HOST = "Ficu95.example" if TROUBLE else "ficu95.example"
OBJECTS = ["/lohu930/%d" % i for i in range(8)]
PURGE_WITHIN_S = 2.0
version = 1


def answer(request):
    body = ("%s version %d\n" % (request.path, version)).encode()
    return 200, {"Server-Seal": "seal.%d" % version, "ETag": '"v%d"' % version}, body


def run(record, deployment):
    global version
    deployment.start()
    operator, client = Operator(deployment), Client(deployment)
    route = {"name": "r-1", "site": HOST, "pathStart": "/lohu930/", "kind": "cacheable", "giveUpMs": 1000,
             "targetMs": 120, "rank": 2, "service": "huvo11a", "tries": 2, "cacheForS": 10.0}
    service = {"name": "huvo11a", "healthPath": "/health-check", "maxConnections": 110, "protocol": "h1", "tls": False}
    if operator.configure([route], [service]) != 200:
        return 2
    upstream = Upstream(deployment, "huvo11a", 100, "i-7f3a91c2", deployment.zones[0], answer)
    if not upstream.registered.wait(10) or not deployment.await_ready():
        return 2
    time.sleep(4)
    for i, path in enumerate(OBJECTS):
        if client.ask(deployment.edges[i], HOST, path)[1] != 200:
            return 2
    version = 2
    record.add("upstreams: all objects change to version 2")
    for path in OBJECTS:
        if operator.order("POST", "/clear", {"site": HOST, "path": path}) != 200:
            return 2
    acked = now()
    time.sleep(PURGE_WITHIN_S + 0.5)
    stale = 0
    for i, path in enumerate(OBJECTS):
        sent, status, headers, _, _ = client.ask(deployment.edges[i], HOST, path)
        if status != 200:
            return 2
        stale += headers.get("server-seal") == "seal.1" and sent > acked + PURGE_WITHIN_S
    record.add("result: %d of %d answers of the purged version, over %.1f s after the last acknowledgement" %
               (stale, len(OBJECTS), PURGE_WITHIN_S))
    return 1 if stale else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    result = 2
    try:
        result = run(record, deployment)
    finally:
        deployment.stop()
        record.add("exit %d" % result)
    return result


sys.exit(main())

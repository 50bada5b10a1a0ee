"""Tests the rate limit service with an independent client: grpcio with the published Envoy types.

    python tests/interop/should_rate_limit.py ADDRESS

ADDRESS is the listen address of the agent in a running local cluster (`frostctl dev`). Requires the packages in
requirements.txt.
"""

import sys

import grpc
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

SHOP = "00000000b4d65599"
OK = rls_pb2.RateLimitResponse.OK
OVER = rls_pb2.RateLimitResponse.OVER_LIMIT


def call(entries, addend=0, domain="frostvale"):
    descriptor = ratelimit_pb2.RateLimitDescriptor()
    for key, value in entries.items():
        descriptor.entries.add(key=key, value=value)
    return rls_pb2.RateLimitRequest(domain=domain, descriptors=[descriptor], hits_addend=addend)


def headers(answer):
    return {h.key: h.value for h in answer.response_headers_to_add}


def main(address):
    with grpc.insecure_channel(address) as channel:
        service = rls_pb2_grpc.RateLimitServiceStub(channel)
        basico = {"shop": SHOP, "plan": "basico", "first": "0", "spread": "1"}

        first = service.ShouldRateLimit(call(basico, addend=4), timeout=2)
        assert first.overall_code == OK, first
        (status,) = first.statuses
        # The plan has 1.4 units a second and a burst of 6. The limit is per minute, the unit that gives a whole number.
        assert (status.current_limit.requests_per_unit, status.current_limit.name) == (84, "basico"), status
        assert status.limit_remaining == 2, status
        assert headers(first)["x-ratelimit-remaining"] == "2", first

        over = service.ShouldRateLimit(call(basico, addend=4), timeout=2)
        assert over.overall_code == OVER, over
        wait = over.statuses[0].duration_until_reset.ToMilliseconds()
        assert 0 < wait <= 1500, over
        assert int(headers(over)["retry-after"]) in (1, 2), over

        free = service.ShouldRateLimit(call({"remote_address": "10.0.0.1"}), timeout=2)
        assert free.overall_code == OK and not free.statuses[0].HasField("current_limit"), free

        for bad, word in [
            (call(basico, domain=""), "domain"),
            (rls_pb2.RateLimitRequest(domain="frostvale"), "descriptors"),
            (call(dict(basico, shop="x")), "descriptors[0].entries[0].value"),
            (call(basico, addend=5), "hits_addend"),
        ]:
            try:
                service.ShouldRateLimit(bad, timeout=2)
            except grpc.RpcError as error:
                assert error.code() == grpc.StatusCode.INVALID_ARGUMENT, error
                assert word in error.details(), error
            else:
                raise AssertionError(f"{word} was taken")
    print("interop: 7 passed, 0 failed")


if __name__ == "__main__":
    main(sys.argv[1])

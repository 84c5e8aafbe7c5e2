"""The fakes of the users' platform follow its documentation, and the fake clients and the call history detect broken rules."""

import asyncio
import json
from types import SimpleNamespace as Item

import aiohttp
import pytest
from aiohttp import web

from harness.fakes.call_history import Attempt, CallHistory
from harness.fakes.client import Client
from harness.fakes.deployment import ENGINE, FIRST_CONFIGURATION, HOST, KINDS, MODELS, Deployment, _free_network
from harness.fakes.instance_list import InstanceList
from harness.fakes.loop_stalls import LoopStalls
from harness.fakes.model_server import ModelServer
from harness.fakes.plain_server import PlainServer
from harness.fakes.response_chunks import digest_of, event_data
from harness.fakes.server import DEADLINE, EXPECTED, NOT_RUN, REQUEST, SEAL
from harness.fakes.tenants import CREDENTIAL, STANDING, TENANT
from harness.local_cluster.log_excerpts import with_logs_on_failure

BOUND = 60.0
KIND = {kind.name: kind for kind in KINDS}


def _run_within_bound(coroutine):
    """Runs a coroutine; fails if it takes longer than 60 s."""
    return asyncio.run(asyncio.wait_for(coroutine, BOUND))


def _head(request, model="", **more):
    return {
        REQUEST: request,
        DEADLINE: "5000",
        "Sumachook-Token-Counts": "100,20",
        **({"Sumachook-Model": model} if model else {}),
        **more,
    }


async def _with_model_server(steps):
    """Runs `steps(ask, order, server, call_history)` against one fake model server with two loaded models."""
    net, call_history = _free_network(), CallHistory(ENGINE["loads-per-s"])
    server = ModelServer("llm", f"{net}.101:8080", "hall-a", ENGINE, call_history, MODELS[:2])
    await server.listen()
    try:
        async with aiohttp.ClientSession() as session:

            async def ask(method, path, headers=None, doc=None):
                async with session.request(
                    method, f"http://{server.address}{path}", headers=headers, json=doc
                ) as answer:
                    return answer.status, answer.headers, await answer.read()

            async def order(operation, model, fence=5, holder="core-1", **more):
                doc = {"operation": operation, "model": model, "holder": holder, "fence-number": fence, **more}
                return (await ask("POST", "/order", None, doc))[0]

            await steps(ask, order, server, call_history)
    finally:
        await server.end()


def test_model_server_runs_loaded_models_and_marks_other_requests_as_not_run():
    async def steps(ask, order, server, call_history):
        status, headers, body = await ask("POST", "/chat/1", _head("t1", MODELS[0]))
        digest = digest_of(b"")
        assert status == 200 and headers[REQUEST] == "t1" and headers[SEAL].endswith(".t1")
        assert body.decode() == "".join(
            f"id: {number}\ndata: {event_data(digest, number)}\n\n" for number in range(1, 5)
        )
        resumed = await ask("POST", "/chat/1", _head("t2", MODELS[0], **{"Last-Event-Id": "3"}))
        assert resumed[2].decode() == f"id: 4\ndata: {event_data(digest, 4)}\n\n"
        refused = {
            "t3": (_head("t3", MODELS[5]), 421),
            "t4": (_head("t4", f"{MODELS[0]}/a1"), 421),
            "t5": (_head("t5", MODELS[0], **{EXPECTED: "i-other"}), 421),
            "t6": (_head("t6", MODELS[0], **{"Sumachook-Token-Counts": "999999,1"}), 503),
        }
        for request, (headers, wanted) in refused.items():
            status, answered, _ = await ask("POST", "/chat/1", headers)
            assert (
                status == wanted
                and answered[NOT_RUN]
                and answered[REQUEST] == request
                and request not in call_history.runs
            )
        assert (await ask("POST", "/chat/1"))[0] == 400 and set(call_history.runs) == {"t1", "t2"}

    _run_within_bound(_with_model_server(steps))


def test_orders_run_one_at_a_time_with_rising_fencing_tokens_and_violations_are_noted():
    async def steps(ask, order, server, call_history):
        assert await order("loading", MODELS[0]) == 200
        assert await order("loading", MODELS[2]) == 202 and await order("loading", MODELS[3]) == 409
        assert (await ask("POST", "/chat/1", _head("t1", MODELS[2])))[0] == 503
        assert await order("loading", MODELS[3], fence=4) == 412 and await order("baking", MODELS[3]) == 400
        assert call_history.noted == []
        await asyncio.gather(*server.model_cache.tasks)
        assert (await ask("POST", "/chat/1", _head("t2", MODELS[2])))[0] == 200
        assert await order("unloading", MODELS[1], **{"expected-count": 0}) == 409
        assert await order("unloading", MODELS[1], **{"expected-count": 1}) == 202
        await asyncio.gather(*server.model_cache.tasks)
        assert (await ask("POST", "/chat/1", _head("t3", MODELS[1])))[0] == 421
        assert await order("loading", MODELS[0], adapter="a1", fence=6) == 202
        await asyncio.gather(*server.model_cache.tasks)
        assert (await ask("POST", "/chat/1", _head("t4", f"{MODELS[0]}/a1")))[0] == 200
        assert await order("loading", MODELS[1], fence=6, holder="core-2") == 202
        assert [line.split(":")[0] for line in call_history.noted] == ["ONE"]
        await asyncio.gather(*server.model_cache.tasks)
        assert await order("loading", MODELS[4], fence=7) == 202
        assert [line.split(":")[0] for line in call_history.noted] == ["ONE", "LIMIT"]

    _run_within_bound(_with_model_server(steps))


def test_list_of_servers_is_paged_delayed_and_rate_limited():
    async def run():
        net, call_history = _free_network(), CallHistory(6.0)
        servers = [
            PlainServer("stamps", f"{net}.{number}:8080", "hall-a" if number % 2 else "hall-b", 4, call_history)
            for number in range(101, 108)
        ]
        late, listing = (
            InstanceList(f"{net}.5:8142", servers, lag=3600.0),
            InstanceList(f"{net}.4:8142", servers, lag=0.0, rate=9.0),
        )
        await asyncio.gather(late.listen(), listing.listen())
        try:
            async with aiohttp.ClientSession() as session:

                async def page(query, address=listing.address):
                    async with session.get(f"http://{address}/instances{query}") as answer:
                        return answer.status, json.loads(await answer.read() or b"{}")

                assert await page("", late.address) == (
                    200,
                    {"instances": [], "next-token": None},
                )  # the initial, empty list
                readings = []
                for _ in range(3):  # each reading has every server once, in an order of its own
                    found, token = [], ""
                    while token is not None:
                        status, doc = await page(f"?zone=hall-a&page-token={token}")
                        found, token = found + [entry["address"] for entry in doc["instances"]], doc["next-token"]
                    assert sorted(found) == [server.address for server in servers if server.zone == "hall-a"]
                    readings.append(found)
                assert len({tuple(found) for found in readings}) > 1
                assert 429 in [(await page(""))[0] for _ in range(9)]
        finally:
            await asyncio.gather(late.end(), listing.end())

    _run_within_bound(run())


ROUTER_FAULTS = {
    "none": (None, ""),
    "no seal": (lambda name, headers, body: ({REQUEST: name}, body), "without a seal"),
    "another's id": (lambda name, headers, body: ({**headers, REQUEST: "other"}, body), "the id of another"),
    "another's seal": (lambda name, headers, body: ({**headers, SEAL: "i-1.1.other"}, body), "the seal of another"),
    "half a body": (lambda name, headers, body: (headers, body[: len(body) // 2]), "MIXED"),
    "twice": (lambda name, headers, body: (headers, body), "TWICE"),
    "refused though run": (lambda name, headers, body: None, "REFUSED"),
    "key passed on": (None, "received the API key"),
    "another tenant": (None, "received the tenants"),
}


@pytest.mark.parametrize("kind", ["booking", "chat"])
@pytest.mark.parametrize("how", ROUTER_FAULTS)
def test_clients_and_call_history_detect_each_fault_of_a_router(how, kind):
    """With a minimal router that injects one fault, exactly this violation is reported; without a fault, none is."""
    bend, wanted = ROUTER_FAULTS[how]

    async def run():
        net, call_history = _free_network(), CallHistory(6.0)
        servers = {
            "stamps": PlainServer("stamps", f"{net}.101:8080", "hall-a", 4, call_history),
            "llm": ModelServer("llm", f"{net}.102:8080", "hall-a", ENGINE, call_history, MODELS[:3]),
        }
        front = f"{net}.41:8144"

        async def route(request):
            server, body = servers[KIND[kind].service], await request.read()
            kept = {name: value for name, value in request.headers.items() if name.startswith("Sumachook-")}
            kept[TENANT] = "somebody" if how == "another tenant" else STANDING
            if how != "key passed on":
                del kept[CREDENTIAL]
            async with aiohttp.ClientSession() as session:
                for _ in range(1 + (how == "twice")):
                    async with session.post(
                        f"http://{server.address}{request.path_qs}", data=body, headers=kept
                    ) as answer:
                        status, headers, got = (
                            answer.status,
                            {REQUEST: answer.headers[REQUEST], SEAL: answer.headers[SEAL]},
                            await answer.read(),
                        )
            bent = bend(request.headers[REQUEST], headers, got) if bend else (headers, got)
            return (
                web.Response(status=503) if bent is None else web.Response(status=status, headers=bent[0], body=bent[1])
            )

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", route)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        for server in servers.values():
            await server.listen()
        try:
            await web.TCPSite(runner, *front.split(":")).start()
            async with aiohttp.ClientSession() as session:
                client = Client("c", "hall-a", HOST, call_history, Item(choose=lambda zone, client: front), session)
                outcome = (await client.ask(KIND[kind]))[0]
        finally:
            await runner.cleanup()
            for server in servers.values():
                await server.end()
        return outcome, call_history.violations()

    outcome, breaches = _run_within_bound(run())
    if how == "none":
        assert outcome in ("in time", "late") and breaches == []
    else:
        assert breaches and all(wanted in line or how == "half a body" for line in breaches), breaches
        assert outcome not in ("in time", "late") or how not in ("half a body", "refused though run")


def test_call_history_compares_runs_with_requests():
    call_history = CallHistory(loads_per_s=1.0)
    call_history.attempts["t1"] = Attempt(KIND["lookup"], "/stamps/1", "d")
    call_history.ran("t1", "i-1", "stamps", "/stamps/1", "d")
    call_history.ran("t1", "i-2", "stamps", "/stamps/1", "d")
    assert call_history.violations() == []
    call_history.ran("t1", "i-3", "llm", "/stamps/1", "d")
    call_history.ran("t1", "i-3", "stamps", "/stamps/2", "d")
    call_history.loads += [0.0, 1.0, 2.0, 3.0, 4.0, 4.1, 4.2, 4.3]
    assert [line.split(":")[0] for line in call_history.violations()] == ["ROUTE", "UNASKED"]
    call_history.loads += [4.4]
    assert [line.split(":")[0] for line in call_history.violations()] == ["ROUTE", "UNASKED", "CEILING"]


def test_deployment_of_real_processes_serves_every_kind_without_violations(tmp_path):
    """Three cores and three edges, started by deploy/system.toml and configured by the operator, serve every kind of request,
    also for models that no server had loaded. An added route is acknowledged and read back, and every process exits with 0."""
    deployment, stalls = None, LoopStalls()

    async def run():
        nonlocal deployment
        stalls.begin()
        deployment = Deployment(tmp_path)
        async with deployment:
            await deployment.configure("/Configuration.Replace", FIRST_CONFIGURATION)
            await deployment.balancer.wait_until_all_ready()
            await asyncio.gather(*(deployment.ask(kind, number) for kind in KINDS for number in range(6)))
            await deployment.add_route()
            await deployment.read_back()
            assert all(process.returncode is None for process in deployment.nodes.running.values())

    with with_logs_on_failure(tmp_path, stalls):
        _run_within_bound(run())
        served = {
            name: sum(outcome in ("in time", "late") for outcome, _, _ in found)
            for name, found in deployment.outcomes.items()
        }
        assert deployment.call_history.violations() == []
        assert set(served) == set(KIND) and all(served.values()), deployment.outcomes
        assert {name: process.returncode for name, process in deployment.nodes.running.items()} == dict.fromkeys(
            deployment.nodes.machines, 0
        )

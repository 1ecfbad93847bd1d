"""The administration API and the command line against a running deployment."""

import asyncio
import json
import subprocess
import sys

import aiohttp
import pytest
import pytest_asyncio

from bench.inprocess import ADMIN_TOKEN, READER_TOKEN, Deployment
from pollencleat.administration.routes import make_openapi_document, operations

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def deployment():
    created = Deployment()
    await created.start(2)
    yield created
    await created.stop()


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "token"
    path.write_text(ADMIN_TOKEN + "\n")
    return path


@pytest.fixture
def cli(deployment, token_file):
    async def run(*arguments, token=None):
        if token is not None:
            token_file.write_text(token)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pollencleat.tools.main",
            "--url",
            deployment.nodes["n0"].admin.address,
            "--token-file",
            str(token_file),
            *arguments,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    return run


async def call_api(deployment, method, path, token=ADMIN_TOKEN, **options):
    headers = {"Authorization": f"Bearer {token}"}
    url = deployment.nodes["n0"].admin.address + path
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=headers, **options) as response,
    ):
        return response.status, await response.text()


async def read_inventory_version(deployment):
    _, body = await call_api(deployment, "GET", "/v1/inventory")
    return json.loads(body)["version"]


async def test_status_explain_and_bill(cli):
    code, output, _ = await cli("status")
    assert code == 0 and "platform" in output and "primary" in output
    code, output, _ = await cli("explain", "g", "--json")
    assert code == 0 and any(row["qualifies"] for row in json.loads(output))
    code, output, _ = await cli("bill", "--json")
    assert code == 0 and json.loads(output)["excesses"] == []
    code, _, errors = await cli("explain", "missing")
    assert code == 3 and "unknown group" in errors


NESTED = "[" * 100_000 + "]" * 100_000
ODD_REQUESTS = [
    ("GET", "/v1/inventory/versions/٣", None),
    ("GET", "/v1/inventory/versions/" + "9" * 5_000, None),
    ("GET", "/v1/explain?group=g&max_age_ms=nan", None),
    ("GET", "/v1/explain?group=g&max_age_ms=1e999", None),
    ("GET", "/v1/explain?group=g&floor=" + "9" * 5_000, None),
    ("GET", "/v1/explain?group=g&floor=" + "9" * 400, None),
    ("POST", "/v1/inventory/check", NESTED),
    ("POST", "/v1/inventory/check", '{"text": ' + NESTED + "}"),
    ("POST", "/v1/inventory/rollback", '{"to_version": 1e999}'),
    (
        "POST",
        "/v1/inventory/rollback",
        '{"expected_version": 1, "to_version": ' + "9" * 400 + "}",
    ),
    ("PUT", "/v1/inventory", '{"text": "", "expected_version": -1}'),
    ("PUT", "/v1/inventory", '{"text": "\\ud800", "expected_version": 1}'),
]


@pytest.mark.parametrize(
    ("method", "path", "body"), ODD_REQUESTS, ids=lambda x: str(x)[:30]
)
async def test_odd_number_or_body_is_answered_with_a_client_error(
    deployment, method, path, body
):
    status, text = await call_api(deployment, method, path, data=body)
    assert status in (400, 422), text[:200]


async def test_token_that_is_no_text_is_answered_as_unknown(deployment):
    """Guards against an error of the comparison itself, which was answered with 500."""
    host, _, port = (
        deployment.nodes["n0"].admin.address.removeprefix("http://").rpartition(":")
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \xff\xfe\r\n\r\n"
    )
    assert b" 401 " in await reader.readline()
    writer.close()


async def test_inventory_conflict_shows_the_difference_and_rollback_is_recorded(
    deployment, cli, tmp_path
):
    version = await read_inventory_version(deployment)
    path = tmp_path / "inventory.ini"
    path.write_text(deployment.inventory_text() + "[read fresh]\nmax-age-ms = 5\n")
    expected = ("--expected-version", str(version))
    code, output, _ = await cli("inventory", "diff", str(path))
    assert code == 0 and "+[read fresh]" in output
    code, output, errors = await cli("inventory", "apply", str(path), *expected)
    assert code == 0, errors
    assert f"version {version + 1} accepted" in output
    path.write_text(deployment.inventory_text() + "[read other]\nmax-age-ms = 6\n")
    code, _, errors = await cli("inventory", "apply", str(path), *expected)
    assert code == 4 and "-[read fresh]" in errors
    code, output, _ = await cli(
        "inventory", "rollback", str(version), "--expected-version", str(version + 1)
    )
    assert code == 0 and f"version {version + 2} accepted" in output
    code, output, _ = await cli("inventory", "history", "--json")
    after = [entry["after"] for entry in json.loads(output)]
    assert after[-2:] == [f"version {version + 1}", f"version {version + 2}"]


async def test_invalid_inventory_is_refused_with_all_errors(cli, tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[rules]\nseats = none\n[group g]\ndatabase = d\n")
    code, output, _ = await cli("inventory", "check", str(path))
    assert code == 2
    assert f"{path}:2: [rules] seats" in output and f"{path}:3: [group g]" in output
    code, _, errors = await cli("inventory", "apply", str(path), "--expected-version=1")
    assert code == 2 and "seats" in errors


async def test_change_with_lost_replies_is_applied_and_recorded_once(deployment):
    version = await read_inventory_version(deployment)
    # The platform stores both the copy for the history and the change itself, but
    # its replies are lost.
    deployment.platform.lose_replies = 2
    body = {
        "text": deployment.inventory_text(),
        "expected_version": version,
        "change_id": "lost-1",
    }
    status, text = await call_api(deployment, "PUT", "/v1/inventory", json=body)
    assert status == 200, text
    status, text = await call_api(deployment, "PUT", "/v1/inventory", json=body)
    assert status == 200 and json.loads(text)["version"] == version + 1
    _, text = await call_api(deployment, "GET", "/v1/audit?change_id=lost-1")
    assert len(json.loads(text)) == 1


async def test_one_of_several_concurrent_changes_is_accepted(deployment):
    version = await read_inventory_version(deployment)
    body = {"text": deployment.inventory_text(), "expected_version": version}
    results = await asyncio.gather(
        *(call_api(deployment, "PUT", "/v1/inventory", json=body) for _ in range(6))
    )
    assert sorted(status for status, _ in results) == [200] + [409] * 5


async def test_roles_are_checked(deployment, cli):
    status, _ = await call_api(deployment, "GET", "/v1/status", token=READER_TOKEN)
    assert status == 200
    for method, path in (("GET", "/v1/audit"), ("PUT", "/v1/inventory")):
        status, _ = await call_api(
            deployment, method, path, token=READER_TOKEN, json={}
        )
        assert status == 403
    status, _ = await call_api(deployment, "GET", "/v1/status", token="wrong")
    assert status == 401
    code, _, errors = await cli("status", token="wrong")
    assert code == 3 and "unknown token" in errors


async def test_promotions_are_in_the_audit_trail(deployment, cli):
    code, output, _ = await cli("audit", "--subject", "group g", "--json")
    entries = json.loads(output)
    assert code == 0 and entries[0]["cause"] == "no primary yet"


async def test_openapi_document_describes_every_operation(deployment):
    document = make_openapi_document()
    described = {
        (method.upper(), path)
        for path, methods in document["paths"].items()
        for method in methods
    }
    assert described == {(item.method, item.path) for item in operations}
    status, text = await call_api(deployment, "GET", "/v1/openapi.json", token="")
    assert status == 200 and json.loads(text) == json.loads(json.dumps(document))


async def test_metrics_are_scraped(deployment):
    status, text = await call_api(deployment, "GET", "/metrics")
    assert status == 200
    assert "pollencleat_group_term" in text and "pollencleat_events" in text


async def test_malformed_bodies_are_refused(deployment):
    for body in (b"", b"{", b"[]", b'{"text": 1}'):
        status, _ = await call_api(deployment, "PUT", "/v1/inventory", data=body)
        assert status == 400


async def test_unreachable_node_is_reported(cli):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pollencleat.tools.main",
        "--url",
        "http://127.0.0.1:1",
        "status",
        stderr=subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 5 and b"no answer" in errors

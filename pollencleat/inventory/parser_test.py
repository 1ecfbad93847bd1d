import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.errors import InventoryError
from pollencleat.inventory.forecast import find_excesses, make_forecast
from pollencleat.inventory.parser import parse_inventory

GOOD = """\
[failure-domain zone-a]
region = nl-west

[customer exporters]
users = advisor, portal

[group grants]
database = grants
customers = exporters

[server grants-a]
group = grants
address = 127.0.0.1:3301
failure-domain = zone-a
slots = 5
connections = 35

[read default]
max-age-ms = 1000

[rules]
seats = 4
"""


def make_large_text(groups: int) -> str:
    parts = [GOOD]
    for index in range(groups):
        parts.append(f"[group g{index}]\ndatabase = d{index}\ncustomers = exporters\n")
        for server in range(3):
            port = 10_000 + index * 3 + server
            parts.append(
                f"[server g{index}-{server}]\ngroup = g{index}\n"
                f"address = 10.0.0.1:{port}\nfailure-domain = zone-a\n"
                "slots = 2\nconnections = 30\n"
            )
    return "\n".join(parts)


def test_good_inventory_is_parsed():
    inventory = parse_inventory("i", GOOD)
    assert inventory.groups_by_id["grants"].server_ids == ("grants-a",)
    assert inventory.customers_by_id["exporters"].users == ("advisor", "portal")
    assert inventory.rules.seats == 4


def test_all_errors_are_reported_together_with_their_lines():
    text = (
        GOOD.replace("slots = 5", "slots = none")
        .replace("max-age-ms", "max-age")
        .replace("region = nl-west", "region = nl-west\nregion = nl-west")
        + "[group other]\ndatabase = grants\ncustomers = nobody\n[nonsense]\n"
    )
    with pytest.raises(InventoryError) as caught:
        parse_inventory("i", text)
    found = [(error.line, error.key) for error in caught.value.errors]
    assert (3, "region") in found
    assert (16, "slots") in found
    assert (20, "max-age") in found
    assert {error.problem for error in caught.value.errors} >= {
        "unknown customer 'nobody'",
        "database already used by group 'grants'",
        "unknown section",
    }


@pytest.mark.parametrize(
    ("good", "odd"),
    [
        ("127.0.0.1:3301", "127.0.0.1:٣"),
        ("127.0.0.1:3301", "127.0.0.1:0"),
        ("127.0.0.1:3301", "127.0.0.1:65536"),
        ("127.0.0.1:3301", f"{'a' * 70_000}:3301"),
        ("slots = 5", f"slots = {10**30}"),
        ("connections = 35", f"connections = {10**30}"),
        ("max-age-ms = 1000", f"max-age-ms = {10**30}"),
        ("seats = 4", f"seats = {10**30}"),
        ("seats = 4", f"seats = {'9' * 5_000}"),
    ],
)
def test_number_or_address_out_of_range_is_a_located_error(good, odd):
    """An inventory with a larger number fits into no message to a peer."""
    with pytest.raises(InventoryError):
        parse_inventory("i", GOOD.replace(good, odd))


def test_forecast_counts_connections_and_excesses_are_found():
    inventory = parse_inventory("i", GOOD)
    forecast = make_forecast(inventory)
    assert forecast.connections == 8 * 4
    assert find_excesses(inventory, {"n": {"grants-a": 32}}) == []
    excesses = find_excesses(inventory, {"n": {"grants-a": 36, "ghost": 1}})
    assert [excess.server_id for excess in excesses] == ["ghost", "grants-a"]


def test_inventory_of_target_size_is_checked_in_stated_time():
    text = make_large_text(600)
    started_s = time.process_time()
    inventory = parse_inventory("i", text)
    assert len(inventory.groups_by_id) == 601
    assert len(text.encode()) < 1_000_000
    print(f"checked in {time.process_time() - started_s:.2f} s of processor time")


@given(st.text(alphabet="[]=ab \n-#:1,", max_size=80))
def test_any_text_yields_an_inventory_or_located_errors(text):
    try:
        parse_inventory("i", text)
    except InventoryError as error:
        assert error.errors

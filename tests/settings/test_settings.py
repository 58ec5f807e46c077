"""The settings file: which files are accepted or rejected, and the position that each problem names."""

import pytest

from curlewhall.settings import SettingsError, load, parse, start_settings


@pytest.fixture
def valid_text(tmp_path):
    key = tmp_path / "key"
    key.touch(mode=0o600)
    key.write_bytes(b"k" * 32)
    return f"""identity {{ name: "front-a" index: 0 fronts: 2 zone: "north" }}
listen {{ address: "127.0.0.1" port: 8080 }}
list_service {{ address: "127.0.0.1" port: 8081 }}
peer {{ index: 1 address: "127.0.0.2" port: 8082 }}
product {{
  name: "dear" importance: 2 first_frame_target_ms: 1000 time_limit_ms: 3000
  idempotency: SIDE_EFFECT floor: 1 scale: 1.2
}}
product {{ name: "plain" importance: 1 first_frame_target_ms: 1000 time_limit_ms: 5000 idempotency: PURE }}
ladder {{ rung_kb: [200, 450, 900] worth: [0.2, 0.5, 1] }}
fleet {{ kind {{ name: "b" streams: 40 }} zone: "north" places: 4 racks: 2 uplink_kb: 9e3 link_unit_kb: 3e3 }}
reports {{ how: INLINE told_late_ms: 700 }}
permissions {{ max_allocations: 3 }}
rules {{ drain_grace_ms: 1000 fall_ms: 1000 overload_factor: 4 start_capacity: 0.4 warm_within_ms: 12000 }}
tokens {{ key_file: "{key}" }}
"""


def test_valid_file_converts_to_start_settings_with_times_in_ticks(valid_text):
    settings = start_settings(parse(valid_text))
    assert settings["products"][0] == {
        "name": "dear",
        "importance": 2.0,
        "idempotency": "side_effect",
        "first_frame_target": 10_000,
        "time_limit": 30_000,
    }
    assert (settings["specifics.floor_by_class"], settings["specifics.highest_rung"]) == ([1, 0], [2, 2])
    assert (settings["rules.warm_within"], settings["report.how"], settings["fronts"]) == (
        120_000,
        "inline",
        2,
    )
    assert "rules.look_back" not in settings


def test_start_settings_are_accepted_by_the_policy_module(valid_text):
    from curlewhall.policy import Front

    assert Front(0, 1, start_settings(parse(valid_text))).listed(0, "whole", []) == []


@pytest.mark.parametrize(
    ("old", "new", "line", "column", "field", "message"),
    [
        ("port: 8080", "port: 99999", 2, 37, "listen.port", "found 99999, expected 1 to 65535"),
        (
            '"127.0.0.1" port: 8080',
            '"localhost" port: 8080',
            2,
            19,
            "listen.address",
            "an IPv4 or IPv6 address",
        ),
        ("floor: 1", "floor: 7", 7, 35, "product[0].floor", "found 7, expected at most its highest rung"),
        ("port: 8082 }", 'port: 8082 url: "ftp://x" }', 4, 54, "peer[0].url", "http://ADDRESS:PORT"),
        (
            "told_late_ms: 700 }",
            'told_late_ms: 700 }\nconsole { address: "10.0.0.1" port: 8090 }',
            13,
            20,
            "console.address",
            "a loopback address, or a token_file beside it",
        ),
        (
            "told_late_ms: 700 }",
            'told_late_ms: 700 }\nconsole { address: "127.0.0.1" }',
            13,
            9,
            "console.port",
            "found nothing",
        ),
        (
            "told_late_ms: 700 }",
            'told_late_ms: 700 }\nconsole { address: "127.0.0.1" port: 1 token_file: "no" }',
            13,
            52,
            "console.token_file",
            "a file that can be read",
        ),
        (
            "told_late_ms: 700 }",
            "told_late_ms: 700 }\ndaemon { workers: 99 }",
            13,
            19,
            "daemon.workers",
            "1 to 64",
        ),
        ('name: "plain"', 'name: "dear"', 9, 17, "product[1].name", "a value not used before"),
        ("importance: 1 ", "", 9, 9, "product[1].importance", "found nothing"),
        ("[200, 450, 900]", "[200, 900, 450]", 10, 30, "ladder.rung_kb[2]", "more than 900"),
        ("[0.2, 0.5, 1]", "[0.2, 0.5]", 10, 43, "ladder.worth", "one for each rung (3)"),
        ('zone: "north" }', 'zone: "south" }', 1, 53, "identity.zone", "one of fleet.zone"),
        ("index: 0 fronts: 2", "index: 2 fronts: 2", 1, 35, "identity.index", "less than identity.fronts"),
        (
            "first_frame_target_ms: 1000 time_limit_ms: 3000",
            "first_frame_target_ms: 4000 time_limit_ms: 3000",
            6,
            53,
            "product[0].first_frame_target_ms",
            "at most the time limit (3000)",
        ),
        ("start_capacity: 0.4", "start_capacity: 0", 14, 79, "rules.start_capacity", "0.001 to 1"),
        (
            "warm_within_ms: 12000",
            "warm_within_ms: 12000 look_back_ms: 9",
            14,
            119,
            "rules.look_back_ms",
            "together, or none of them",
        ),
        ("index: 1 address", "index: 0 address", 4, 15, "peer[0].index", "another front's index"),
        ("reports { how: INLINE told_late_ms: 700 }", "", 1, 1, "reports", "a group reports"),
        ("[200, 450, 900]", "[200, 450, inf]", 10, 30, "ladder.rung_kb[2]", "found inf"),
        ("[0.2, 0.5, 1]", "[0.2, 0.5, nan]", 10, 53, "ladder.worth[2]", "found nan"),
        ("[200, 450, 900]", "[0, 450, 900]", 10, 20, "ladder.rung_kb[0]", "found 0"),
        ("[0.2, 0.5, 1]", "[0.2, 0.5, 0.5]", 10, 53, "ladder.worth[2]", "more than 0.5"),
        ("scale: 1.2", "scale: 0", 7, 44, "product[0].scale", "0.01 to 100"),
        ("warm_within_ms: 12000", "warm_within_ms: 0", 14, 99, "rules.warm_within_ms", "found 0"),
        (
            "warm_within_ms: 12000",
            "warm_within_ms: 12000 look_back_ms: 9 spare_allocations: 1 " "extra_per_request: nan",
            14,
            161,
            "rules.extra_per_request",
            "found nan",
        ),
        ('kind { name: "b" streams: 40 }', "", 11, 7, "fleet.kind", "found nothing"),
        ("uplink_kb: 9e3", "uplink_kb: 0", 11, 84, "fleet.uplink_kb", "found 0"),
        ("index: 0 ", "indx: 0 ", 1, 28, "", 'has no field named "indx"'),
        ("index: 0 ", 'index: "0" ', 1, 35, "", "Couldn't parse integer"),
        ("how: INLINE", "how: SOMEHOW", 12, 16, "", "SOMEHOW"),
        ("}\ntokens", "\ntokens", 15, 1, "", ""),
    ],
)
def test_invalid_file_is_rejected_with_position_and_expectation(
    valid_text, old, new, line, column, field, message
):
    assert old in valid_text
    with pytest.raises(SettingsError) as caught:
        parse(valid_text.replace(old, new, 1), "f")
    problem = caught.value.problems[0]
    assert (problem.line, problem.field) == (line, field) and message in str(problem)
    assert problem.column == column or not field


def test_all_problems_are_reported_at_once(valid_text):
    with pytest.raises(SettingsError) as caught:
        parse(valid_text.replace("8080", "0").replace("floor: 1", "floor: 9").replace("0.4", "4"))
    assert [problem.line for problem in caught.value.problems] == [2, 7, 14]


@pytest.mark.parametrize(
    ("mode", "size", "message"),
    [
        (0o644, 32, "no access but the owner's"),
        (0o600, 31, "at least 32 bytes"),
        (None, 0, "a file that can"),
    ],
)
def test_key_file_that_is_short_missing_or_readable_by_others_is_rejected(
    valid_text, tmp_path, mode, size, message
):
    key = tmp_path / "key"
    if mode is None:
        key.unlink()
    else:
        key.chmod(mode)
        key.write_bytes(b"k" * size)
    with pytest.raises(SettingsError, match=message):
        parse(valid_text)


def test_invalid_utf8_is_rejected_with_its_position(tmp_path):
    path = tmp_path / "f"
    path.write_bytes(b'identity {\n name: "\xff" }')
    with pytest.raises(SettingsError, match="line 2, column 9: found byte 0xff, expected text in UTF-8"):
        load(path)


def test_byte_order_mark_is_ignored(valid_text, tmp_path):
    path = tmp_path / "f"
    path.write_bytes(b"\xef\xbb\xbf" + valid_text.encode())
    assert load(path).identity.name == "front-a"

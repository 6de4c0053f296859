//! Parsing of setting values.

use {
    bronzespool_core::settings::value::{
        Accels, Cores, Count, Flag, List, Memory, Positive, ReachableAddr, Share, Size, Span,
        Weight,
    },
    std::{fmt::Debug, time::Duration},
};

/// Asserts that none of `texts` parses as a `T`.
fn assert_refused<T>(texts: &[&str])
where
    T: for<'t> TryFrom<&'t str> + Debug,
{
    for text in texts {
        assert!(T::try_from(text).is_err(), "{text:?} as {}", std::any::type_name::<T>());
    }
}

#[test]
fn span_try_from_units_reads_durations() {
    let cases = [("250ms", 250), ("2s", 2_000), ("5 m", 300_000), ("3h", 10_800_000)];
    for (text, millis) in cases {
        assert_eq!(Span::try_from(text), Ok(Span(Duration::from_millis(millis))), "{text}");
    }
    assert_refused::<Span>(&[
        "",
        "5",
        "s",
        "-1s",
        "1.5s",
        "1d",
        "1S",
        "18446744073709551615h",
        "1s 2ms",
    ]);
}

#[test]
fn size_try_from_units_reads_bytes() {
    assert_eq!(Size::try_from("64KiB"), Ok(Size(65_536)));
    assert_eq!(Size::try_from("0B"), Ok(Size(0)));
    assert_eq!(Memory::try_from("128GiB"), Ok(Memory(131_072)));
    assert_refused::<Size>(&["", "64", "64KB", "64k", "18446744073709551615TiB", "1.5GiB"]);
    assert_refused::<Memory>(&["512KiB", "1B"]);
}

#[test]
fn share_try_from_percentage_excludes_both_ends() {
    assert_eq!(Share::try_from("99.5%"), Ok(Share(0.995)));
    assert_refused::<Share>(&["0%", "100%", "0.995", "99.5", "-5%", "NaN%", "inf%", "1e1%", "%"]);
}

#[test]
fn cores_try_from_decimals_reads_thousandths() {
    for (text, thousandths) in [("1", 1_000), ("0.25", 250), ("1.5", 1_500), ("0.001", 1)] {
        assert_eq!(Cores::try_from(text), Ok(Cores(thousandths)), "{text}");
    }
    assert_refused::<Cores>(&["", ".5", "1.", "0.0001", "-1", "4294968", "+1"]);
}

#[test]
fn numbers_try_from_text_keep_their_ranges() {
    assert_eq!(Count::try_from("0"), Ok(Count(0)));
    assert_eq!(Accels::try_from("64"), Ok(Accels(64)));
    assert_eq!(Weight::try_from("1.5"), Ok(Weight(1.5)));
    assert_refused::<Count>(&["", "-1", "+1", "4294967296", "1.0"]);
    assert_refused::<Positive>(&["0"]);
    assert_refused::<Accels>(&["3", "128"]);
    assert_refused::<Weight>(&["-1", "NaN", "1000001", "1e3"]);
    assert_refused::<Flag>(&["true", "YES", "1", ""]);
}

#[test]
fn reachable_addr_try_from_unreachable_address_is_refused() {
    assert!(
        ReachableAddr::try_from("10.0.0.1:7100").is_ok()
            && ReachableAddr::try_from("[fd00::1]:1").is_ok()
    );
    assert_refused::<ReachableAddr>(&[
        "0.0.0.0:1",
        "[::]:1",
        "10.0.0.1:0",
        "10.0.0.1",
        "localhost:1",
        "::1:1",
    ]);
}

#[test]
fn list_try_from_faulty_item_names_its_position() {
    assert_eq!(List::try_from("1, 2,3"), Ok(List(vec![Count(1), Count(2), Count(3)])));
    let error = List::<Count>::try_from("1, x").unwrap_err().to_string();
    assert!(error.starts_with("item 2 of the list: \"x\""), "{error}");
    assert_refused::<List<Count>>(&["", "1,", ",1"]);
}

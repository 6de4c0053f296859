//! Numbers, order and outcomes of result codes.

use bronzespool_core::{Code, Outcome};

#[test]
fn all_is_sorted_and_unique() {
    let numbers: Vec<_> = Code::ALL.iter().map(|c| c.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}

#[test]
fn try_from_number_returns_same_code() {
    for &code in Code::ALL {
        assert_eq!(Code::try_from(code.number()), Ok(code));
    }
}

#[test]
fn outcome_follows_thousands() {
    for &code in Code::ALL {
        match code.number() / 1_000 {
            1 => assert_eq!(code.outcome(), Outcome::Done),
            4 | 9 => assert_eq!(code.outcome(), Outcome::Unknown),
            _ => assert_eq!(code.outcome(), Outcome::NotRun),
        }
    }
}

#[test]
fn try_from_other_number_names_it() {
    assert_eq!(Code::try_from(7).unwrap_err().to_string(), "7 is no result code");
}

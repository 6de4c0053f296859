//! Parsing and formatting of shapes.

use bronzespool_core::{Level, Shape, shape::Error};

#[test]
fn try_from_valid_text_round_trips() {
    for text in ["1 x block-1", "4 x block-64", "2 x worker", "3 x rack", "1 x center"] {
        assert_eq!(Shape::try_from(text).unwrap().to_string(), text);
    }
}

#[test]
fn try_from_bad_text_names_the_fault() {
    assert_eq!(Shape::try_from("0 x worker"), Err(Error::Zero));
    assert_eq!(Shape::try_from("2 x block-3"), Err(Error::Block("3".to_owned())));
    assert_eq!(Shape::try_from("2 x shelf"), Err(Error::Level("shelf".to_owned())));
    assert_eq!(Shape::try_from("worker"), Err(Error::Form("worker".to_owned())));
}

#[test]
fn block_of_odd_count_is_none() {
    assert_eq!(Level::block(6), None);
    assert_eq!(Level::block(8), Some(Level::Block(3)));
}

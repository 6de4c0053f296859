//! The bronzespool daemon: control, entry and agent roles.

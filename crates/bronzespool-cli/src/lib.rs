//! The bronzespool operators' command line.

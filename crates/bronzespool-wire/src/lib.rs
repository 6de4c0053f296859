//! Messages and connections between bronzespool processes.

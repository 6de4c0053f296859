//! Measurements of bronzespool: decisions, slopes for capacity planning, requests.

//! How much of the bytes for all bodies large ones leave to small ones.

use coordination::door::reserve::Reserve;

/// A crowd's whole bodies wait for upstreams that never answer, and an ordinary one comes.
#[test]
fn large_bodies_leave_room_for_several_small_ones() {
    for bytes in [4 << 20, 256 << 20] {
        let reserve = Reserve::new(bytes, bytes / 16);
        assert!(reserve.large_bytes + 4 * reserve.small_bytes <= bytes);
        assert!(!reserve.is_large(reserve.small_bytes));
        assert!(reserve.is_large(reserve.small_bytes + 1));
    }
}

/// A single body within the limit of one body is taken in calm, however the two bounds are set.
#[test]
fn the_longest_body_still_fits() {
    for (bytes, body_limit) in [(16_384, 16_384), (16_384, 15_000), (1_024, 4_096)] {
        let reserve = Reserve::new(bytes, body_limit);
        assert_eq!(reserve.large_bytes, bytes.min(body_limit));
    }
}

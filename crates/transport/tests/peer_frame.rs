//! Tests that frames between daemons detect changes, replays and losses, and of key parsing.

use assert_matches::assert_matches;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use transport::peer_frame::Codec;
use transport::peer_frame::Error;
use transport::peer_frame::MAX_FRAME_BYTES;
use transport::peer_key;
use transport::peer_key::Key;

type ByteCodec = Codec<Vec<u8>, Vec<u8>>;

/// Length prefix of a frame, which the tag does not cover.
const HEADER_BYTES: usize = 4;

fn codec_pair() -> (ByteCodec, ByteCodec) {
    let (one, other) = (Key::new([1; 32]), Key::new([2; 32]));
    (
        Codec::new(one.clone(), other.clone()),
        Codec::new(other, one),
    )
}

fn encoded(codec: &mut ByteCodec, message: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    codec.encode(message.to_vec(), &mut bytes).unwrap();
    bytes
}

#[test]
fn frames_arrive_in_order() {
    let (mut sender, mut receiver) = codec_pair();
    let mut bytes = encoded(&mut sender, b"one");
    bytes.extend(encoded(&mut sender, b"two"));
    assert_eq!(receiver.decode(&mut bytes).unwrap().unwrap(), b"one");
    assert_eq!(receiver.decode(&mut bytes).unwrap().unwrap(), b"two");
    assert_matches!(receiver.decode(&mut bytes), Ok(None));
    assert_eq!(receiver.frame_counter().received(), 2);
}

#[test]
fn every_changed_byte_is_refused() {
    let length = encoded(&mut codec_pair().0, b"order").len();
    for index in HEADER_BYTES..length {
        let (mut sender, mut receiver) = codec_pair();
        let mut bytes = encoded(&mut sender, b"order");
        bytes[index] ^= 1;
        assert_matches!(
            receiver.decode(&mut bytes),
            Err(Error::NotAuthentic { frame_number: 0 })
        );
    }
}

#[test]
fn a_replayed_frame_is_refused() {
    let (mut sender, mut receiver) = codec_pair();
    let frame = encoded(&mut sender, b"order");
    receiver.decode(&mut frame.clone()).unwrap();
    assert_matches!(
        receiver.decode(&mut frame.clone()),
        Err(Error::NotAuthentic { frame_number: 1 })
    );
}

/// A frame sent back to its sender must not pass for one of the peer.
#[test]
fn a_reflected_frame_is_refused() {
    let (mut sender, _) = codec_pair();
    let mut frame = encoded(&mut sender, b"order");
    assert_matches!(
        sender.decode(&mut frame),
        Err(Error::NotAuthentic { frame_number: 0 })
    );
}

#[test]
fn a_missing_frame_is_detected() {
    let (mut sender, mut receiver) = codec_pair();
    encoded(&mut sender, b"one");
    let mut second = encoded(&mut sender, b"two");
    assert_matches!(
        receiver.decode(&mut second),
        Err(Error::NotAuthentic { frame_number: 0 })
    );
}

#[test]
fn a_frame_over_the_limit_is_neither_sent_nor_read() {
    let (mut sender, mut receiver) = codec_pair();
    let long = vec![0; MAX_FRAME_BYTES];
    let mut bytes = BytesMut::new();
    assert_matches!(sender.encode(long, &mut bytes), Err(Error::Io(_)));
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    bytes.extend(length.to_be_bytes());
    assert_matches!(receiver.decode(&mut bytes), Err(Error::Io(_)));
}

#[test]
fn a_key_is_parsed_from_64_hexadecimal_digits() {
    assert_matches!(Key::parse(&"0f".repeat(32)), Ok(_));
    assert_matches!(Key::parse("0f"), Err(peer_key::Error::Length { found: 2 }));
    assert_matches!(Key::parse(&"xy".repeat(32)), Err(peer_key::Error::Digit));
}

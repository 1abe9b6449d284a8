//! Tests of the frames between daemons.

use assert_matches::assert_matches;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use transport::peer_frame::Codec;
use transport::peer_frame::Error;
use transport::peer_frame::FRAME_LIMIT_BYTES;
use transport::peer_key;
use transport::peer_key::Key;

type Bytewise = Codec<Vec<u8>, Vec<u8>>;

const HEADER_BYTES: usize = 4;

fn pair() -> (Bytewise, Bytewise) {
    let (one, other) = (Key::new([1; 32]), Key::new([2; 32]));
    (
        Codec::new(one.clone(), other.clone()),
        Codec::new(other, one),
    )
}

fn sealed(codec: &mut Bytewise, message: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    codec.encode(message.to_vec(), &mut bytes).unwrap();
    bytes
}

#[test]
fn frames_arrive_in_order() {
    let (mut sender, mut receiver) = pair();
    let mut bytes = sealed(&mut sender, b"one");
    bytes.extend(sealed(&mut sender, b"two"));
    assert_eq!(receiver.decode(&mut bytes).unwrap().unwrap(), b"one");
    assert_eq!(receiver.decode(&mut bytes).unwrap().unwrap(), b"two");
    assert_matches!(receiver.decode(&mut bytes), Ok(None));
    assert_eq!(receiver.count().received(), 2);
}

#[test]
fn every_changed_byte_is_refused() {
    let length = sealed(&mut pair().0, b"order").len();
    for place in HEADER_BYTES..length {
        let (mut sender, mut receiver) = pair();
        let mut bytes = sealed(&mut sender, b"order");
        bytes[place] ^= 1;
        assert_matches!(receiver.decode(&mut bytes), Err(Error::Tag { counter: 0 }));
    }
}

#[test]
fn a_replayed_frame_is_refused() {
    let (mut sender, mut receiver) = pair();
    let frame = sealed(&mut sender, b"order");
    receiver.decode(&mut frame.clone()).unwrap();
    assert_matches!(
        receiver.decode(&mut frame.clone()),
        Err(Error::Tag { counter: 1 })
    );
}

#[test]
fn a_reflected_frame_is_refused() {
    let (mut sender, _) = pair();
    let mut frame = sealed(&mut sender, b"order");
    assert_matches!(sender.decode(&mut frame), Err(Error::Tag { counter: 0 }));
}

#[test]
fn a_missing_frame_is_noticed() {
    let (mut sender, mut receiver) = pair();
    sealed(&mut sender, b"one");
    let mut second = sealed(&mut sender, b"two");
    assert_matches!(receiver.decode(&mut second), Err(Error::Tag { counter: 0 }));
}

#[test]
fn a_frame_over_the_limit_is_neither_sent_nor_read() {
    let (mut sender, mut receiver) = pair();
    let long = vec![0; FRAME_LIMIT_BYTES];
    let mut bytes = BytesMut::new();
    assert_matches!(sender.encode(long, &mut bytes), Err(Error::Io(_)));
    let length = u32::try_from(FRAME_LIMIT_BYTES + 1).unwrap();
    bytes.extend(length.to_be_bytes());
    assert_matches!(receiver.decode(&mut bytes), Err(Error::Io(_)));
}

#[test]
fn a_key_is_read_from_64_digits() {
    assert_matches!(Key::parse(&"0f".repeat(32)), Ok(_));
    assert_matches!(Key::parse("0f"), Err(peer_key::Error::Length { found: 2 }));
    assert_matches!(Key::parse(&"xy".repeat(32)), Err(peer_key::Error::Digit));
}

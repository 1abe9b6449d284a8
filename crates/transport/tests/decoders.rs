//! Property tests that feed arbitrary bytes to the decoders of frames, events, keys and commands.

use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder;

use coordination::raft_entry::Record;
use coordination::state_machine::Command;
use transport::disk_frame;
use transport::disk_frame::ReadOutcome;
use transport::peer_frame::Codec;
use transport::peer_key::Key;
use transport::sse::Decoder;

const MAX_EVENT_BYTES: usize = 64;

type BytesCodec = Codec<Vec<u8>, Vec<u8>>;

fn codec() -> BytesCodec {
    Codec::new(Key::new([1; 32]), Key::new([1; 32]))
}

proptest! {
    #[test]
    fn bytes_not_authenticated_with_the_key_are_no_frame(
        bytes in vec(any::<u8>(), 0..300),
        has_length_prefix in any::<bool>(),
    ) {
        let mut buffer = BytesMut::new();
        if has_length_prefix {
            buffer.extend((bytes.len() as u32).to_be_bytes());
        }
        buffer.extend(&bytes);
        prop_assert!(!matches!(codec().decode(&mut buffer), Ok(Some(_))));
    }

    #[test]
    fn a_frame_is_decoded_the_same_whatever_the_chunk_size(
        message in vec(any::<u8>(), 0..300),
        chunk_bytes in 1_usize..40,
    ) {
        let mut bytes = BytesMut::new();
        codec().encode(message.clone(), &mut bytes).unwrap();
        let (mut receiver, mut buffer, mut decoded) = (codec(), BytesMut::new(), Vec::new());
        for chunk in bytes.chunks(chunk_bytes) {
            buffer.extend(chunk);
            decoded.extend(receiver.decode(&mut buffer).unwrap());
        }
        prop_assert_eq!(decoded, [message]);
    }

    #[test]
    fn events_are_decoded_the_same_whatever_the_chunk_size(
        text in "(data: ?[a-z]{0,9}|:[a-z]{0,3}|id: 3|[ -~]{0,9}|\r|\n|é|.){0,30}",
        chunk_bytes in 1_usize..20,
    ) {
        let mut at_once = (Decoder::new(MAX_EVENT_BYTES), Vec::new());
        let mut in_chunks = (Decoder::new(MAX_EVENT_BYTES), Vec::new());
        let expected = at_once.0.push(text.as_bytes(), &mut at_once.1);
        let mut chunks = text.as_bytes().chunks(chunk_bytes);
        let result = chunks.try_for_each(|chunk| in_chunks.0.push(chunk, &mut in_chunks.1));
        prop_assert_eq!(expected, result);
        prop_assert_eq!(at_once.1, in_chunks.1);
    }

    #[test]
    fn arbitrary_bytes_decode_to_events_or_an_error(bytes in vec(any::<u8>(), 0..400)) {
        let mut items = Vec::new();
        let _ = Decoder::new(MAX_EVENT_BYTES).push(&bytes, &mut items);
    }

    #[test]
    fn the_error_for_an_invalid_key_does_not_contain_the_text(text in "[0-9a-fg]{1,70}") {
        if let Err(error) = Key::parse(&text) {
            let output = format!("{error} {error:?}");
            prop_assert!(text.len() < 4 || !output.contains(&text));
        }
    }

    #[test]
    fn debug_output_does_not_contain_the_key(bytes in any::<[u8; 32]>()) {
        prop_assert_eq!(format!("{:?}", Key::new(bytes)), "Key");
    }

    #[test]
    fn a_disk_frame_is_read_whole_or_reported_damaged_or_torn(
        first in vec(any::<u8>(), 0..100),
        second in vec(any::<u8>(), 0..100),
        position in any::<Index>(),
        bit_flips in 1u8..,
    ) {
        let mut bytes = disk_frame::encode(&first).expect("encoding succeeds");
        let next = bytes.len();
        bytes.extend(disk_frame::encode(&second).expect("encoding succeeds"));
        let end = bytes.len();
        prop_assert_eq!(disk_frame::read(&bytes, 0), ReadOutcome::Frame { next, value: first });
        prop_assert_eq!(
            disk_frame::read(&bytes, next),
            ReadOutcome::Frame { next: end, value: second }
        );
        let torn_at = next + 1 + position.index(end - next - 1);
        prop_assert_eq!(disk_frame::read::<Vec<u8>>(&bytes[..torn_at], next), ReadOutcome::Torn);
        bytes[position.index(next)] ^= bit_flips;
        prop_assert_eq!(disk_frame::read::<Vec<u8>>(&bytes, 0), ReadOutcome::Damaged);
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_log_record_or_an_error(
        bytes in vec(any::<u8>(), 0..300),
        offset in 0usize..400,
    ) {
        let _ = disk_frame::read::<Record>(&bytes, offset);
        let mut framed = disk_frame::encode(&bytes).expect("encoding succeeds");
        framed.truncate(offset);
        let _ = disk_frame::read::<Record>(&framed, 0);
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_command_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(command) = Command::decode(&bytes) {
            let encoded = command.encode().expect("encoding succeeds");
            prop_assert_eq!(Command::decode(&encoded).ok(), Some(command));
        }
    }
}

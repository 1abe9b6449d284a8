//! Checks the reading of frames, events and keys from bytes of any kind.

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

const LIMIT_BYTES: usize = 64;

type Bytewise = Codec<Vec<u8>, Vec<u8>>;

fn codec() -> Bytewise {
    Codec::new(Key::new([1; 32]), Key::new([1; 32]))
}

proptest! {
    #[test]
    fn bytes_without_the_key_are_no_frame(
        bytes in vec(any::<u8>(), 0..300),
        framed in any::<bool>(),
    ) {
        let mut buffer = BytesMut::new();
        if framed {
            buffer.extend((bytes.len() as u32).to_be_bytes());
        }
        buffer.extend(&bytes);
        prop_assert!(!matches!(codec().decode(&mut buffer), Ok(Some(_))));
    }

    #[test]
    fn a_frame_is_read_the_same_wherever_the_reads_are_cut(
        message in vec(any::<u8>(), 0..300),
        cut in 1_usize..40,
    ) {
        let mut bytes = BytesMut::new();
        codec().encode(message.clone(), &mut bytes).unwrap();
        let (mut receiver, mut buffer, mut read) = (codec(), BytesMut::new(), Vec::new());
        for part in bytes.chunks(cut) {
            buffer.extend(part);
            read.extend(receiver.decode(&mut buffer).unwrap());
        }
        prop_assert_eq!(read, [message]);
    }

    #[test]
    fn events_are_read_the_same_wherever_the_reads_are_cut(
        text in "(data: ?[a-z]{0,9}|:[a-z]{0,3}|id: 3|[ -~]{0,9}|\r|\n|é|.){0,30}",
        cut in 1_usize..20,
    ) {
        let mut whole = (Decoder::new(LIMIT_BYTES), Vec::new());
        let mut parts = (Decoder::new(LIMIT_BYTES), Vec::new());
        let once = whole.0.push(text.as_bytes(), &mut whole.1);
        let mut pieces = text.as_bytes().chunks(cut);
        let apart = pieces.try_for_each(|piece| parts.0.push(piece, &mut parts.1));
        prop_assert_eq!(once, apart);
        prop_assert_eq!(whole.1, parts.1);
    }

    #[test]
    fn bytes_of_any_kind_are_events_or_an_error(bytes in vec(any::<u8>(), 0..400)) {
        let mut items = Vec::new();
        let _ = Decoder::new(LIMIT_BYTES).push(&bytes, &mut items);
    }

    #[test]
    fn a_text_that_is_no_key_is_not_repeated(text in "[0-9a-fg]{1,70}") {
        if let Err(error) = Key::parse(&text) {
            let shown = format!("{error} {error:?}");
            prop_assert!(text.len() < 4 || !shown.contains(&text));
        }
    }

    #[test]
    fn a_key_does_not_show(bytes in any::<[u8; 32]>()) {
        prop_assert_eq!(format!("{:?}", Key::new(bytes)), "Key");
    }

    #[test]
    fn a_log_frame_is_read_whole_or_found_damaged_or_torn(
        first in vec(any::<u8>(), 0..100),
        second in vec(any::<u8>(), 0..100),
        at in any::<Index>(),
        change in 1u8..,
    ) {
        let mut bytes = disk_frame::encode(&first).expect("it encodes");
        let next = bytes.len();
        bytes.extend(disk_frame::encode(&second).expect("it encodes"));
        let end = bytes.len();
        prop_assert_eq!(disk_frame::read(&bytes, 0), ReadOutcome::Frame { next, value: first });
        prop_assert_eq!(
            disk_frame::read(&bytes, next),
            ReadOutcome::Frame { next: end, value: second }
        );
        let cut = next + 1 + at.index(end - next - 1);
        prop_assert_eq!(disk_frame::read::<Vec<u8>>(&bytes[..cut], next), ReadOutcome::Torn);
        bytes[at.index(next)] ^= change;
        prop_assert_eq!(disk_frame::read::<Vec<u8>>(&bytes, 0), ReadOutcome::Damaged);
    }

    #[test]
    fn bytes_of_any_kind_are_a_log_record_or_an_error(
        bytes in vec(any::<u8>(), 0..300),
        place in 0usize..400,
    ) {
        let _ = disk_frame::read::<Record>(&bytes, place);
        let mut framed = disk_frame::encode(&bytes).expect("it encodes");
        framed.truncate(place);
        let _ = disk_frame::read::<Record>(&framed, 0);
    }

    #[test]
    fn bytes_of_any_kind_are_a_command_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(command) = Command::decode(&bytes) {
            let encoded = command.encode().expect("it encodes");
            prop_assert_eq!(Command::decode(&encoded).ok(), Some(command));
        }
    }
}

//! Tests how the end of an answer is told from a break by its content.

use hyper::{HeaderMap, header::HeaderValue};
use rstest::rstest;
use waxwinglatch::answer::{AnswerFraming, EndCheck, EventBoundary, JsonDocument};

/// Returns the lengths at which a cut of the stream lies between two events, pushing the bytes in two
/// pieces split at every place.
fn event_boundaries(stream: &str) -> Vec<usize> {
    let bytes = stream.as_bytes();
    let is_boundary = |length: usize| {
        let inside = |split: usize| {
            let mut boundary = EventBoundary::default();
            boundary.push(&bytes[..split]);
            boundary.push(&bytes[split..length]);
            boundary.is_inside_event()
        };
        let whole = inside(0);
        for split in 0..=length {
            assert_eq!(inside(split), whole, "{length} bytes split at {split}");
        }
        !whole
    };
    (0..=bytes.len())
        .filter(|length| is_boundary(*length))
        .collect()
}

#[rstest]
#[case::line_feeds("data: a\n\ndata: b\n\n", &[0, 9, 18])]
#[case::carriage_returns("data: a\r\rx", &[0, 9])]
#[case::both("data: a\r\n\r\ndata: b\r\n\r\n", &[0, 10, 11, 21, 22])]
#[case::several_lines("id: 1\ndata: a\n\n", &[0, 15])]
#[case::comments_between_events(": a\n:\n\ndata: a\n\n", &[0, 4, 6, 7, 16])]
#[case::comment_inside_an_event("data: a\n: b\n\n", &[0, 13])]
#[case::a_colon_inside_a_line("a:b\n\n", &[0, 5])]
fn streams_are_complete_only_between_events(#[case] stream: &str, #[case] expected: &[usize]) {
    assert_eq!(event_boundaries(stream), expected);
}

#[rstest]
#[case::object(r#"{"a": [1, {"b": "}"}]}"#)]
#[case::array("[[], [\"\\\"]\"]]")]
#[case::text(r#""a \" b""#)]
#[case::with_blanks(" { } \r\n")]
fn documents_are_complete_only_with_their_last_bracket(#[case] document: &str) {
    let last = document.trim_end().len();
    for length in 0..=document.len() {
        let mut state = JsonDocument::default();
        state.push(&document.as_bytes()[..length]);
        assert_eq!(state.is_complete(), length >= last, "{length} bytes");
    }
}

#[rstest]
#[case::stream("text/event-stream", AnswerFraming::Length, "data: a\n", true)]
#[case::stream_with_charset("Text/Event-Stream; charset=utf-8", AnswerFraming::Chunks, "x", true)]
#[case::whole_stream("text/event-stream", AnswerFraming::Connection, "data: a\n\n", false)]
#[case::document("application/json", AnswerFraming::Connection, "{", true)]
#[case::empty_document("application/json", AnswerFraming::Connection, "", true)]
#[case::problem_document("application/problem+json", AnswerFraming::Connection, "[1", true)]
#[case::document_of_known_length("application/json", AnswerFraming::Length, "{", false)]
#[case::document_in_chunks("application/json", AnswerFraming::Chunks, "{", false)]
#[case::any_text("text/plain", AnswerFraming::Connection, "{", false)]
fn the_content_shows_a_break_where_the_framing_does_not(
    #[case] content_type: &'static str,
    #[case] framing: AnswerFraming,
    #[case] body: &str,
    #[case] is_broken: bool,
) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static(content_type));
    let mut check = EndCheck::new(framing, &headers);
    check.push(body.as_bytes());
    assert_eq!(check.break_reason().is_some(), is_broken);
    // An encoded body shows nothing of its content.
    headers.insert("content-encoding", HeaderValue::from_static("gzip"));
    let mut check = EndCheck::new(framing, &headers);
    check.push(body.as_bytes());
    assert_eq!(check.break_reason(), None);
}

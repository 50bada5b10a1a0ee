use super::*;

/// Of answers that are complete, only those before the first pending one wait for the client.
#[test]
fn unread_bytes_exclude_answers_that_wait_for_an_earlier_one() {
    let mut answers = AnswerQueue::default();
    (1..=3).for_each(|id| answers.push_pending(id));
    answers.complete(2, vec![b'x'; MAX_BACKLOG_BYTES + 1]);
    assert_eq!((answers.unread_bytes(), answers.has_room()), (0, false));
    answers.complete(1, b"first".to_vec());
    assert_eq!(answers.unread_bytes(), MAX_BACKLOG_BYTES + 1 + b"first".len());
    assert_eq!(answers.take_ready(), b"first");
    assert_eq!(answers.take_ready().len(), MAX_BACKLOG_BYTES + 1);
    assert_eq!((answers.backlog_bytes(), answers.has_room(), answers.take_pending()), (0, true, vec![3]));
}

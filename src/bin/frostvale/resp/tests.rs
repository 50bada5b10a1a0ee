use super::*;

const PING: &[u8] = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n";

#[test]
fn command_is_parsed_only_when_complete() {
    for cut in 0..PING.len() {
        assert_eq!(command(&PING[..cut]), Ok(None), "{cut} bytes");
    }
    let read = command(PING).expect("valid").expect("complete");
    assert_eq!(
        (read.count, read.len, read.part(PING, 0), read.part(PING, 1)),
        (2, PING.len(), &b"PING"[..], &b""[..])
    );
    assert_eq!(read.part(PING, 9), b"");
}

#[test]
fn command_parser_rejects_malformed_input_at_once() {
    let cases: [&[u8]; 9] = [
        b"GET / HTTP/1.1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*99\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$99999999999999999999\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*1\n$1\r\na\r\n",
    ];
    for bytes in cases {
        assert!(command(bytes).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    assert!(command(&[b"*".as_slice(), &[b'1'; 2000]].concat()).is_err(), "a line without an end");
}

#[test]
fn reply_gives_value_and_report() {
    let bytes = b"*3\r\n$2\r\nhi\r\n$-1\r\n$8\r\nutil=0.5\r\n";
    for cut in 0..bytes.len() {
        assert_eq!(reply(&bytes[..cut]), Ok(None), "{cut} bytes");
    }
    let (read, len) = reply(bytes).expect("valid").expect("complete");
    let Reply::Served { value, report: Some(report) } = read else { panic!("served") };
    assert_eq!((len, &bytes[value], &bytes[report]), (bytes.len(), &b"$2\r\nhi\r\n"[..], &b"util=0.5"[..]));
    for malformed_rest in
        [&b":7\r\n$-1\r\n"[..], b"$-1\r\n+util\r\n", b"$-1\r\n$9999999\r\n", b"$1\r\nabc", b"$-1\r\n#"]
    {
        let bytes = [&b"*3\r\n$2\r\nhi\r\n"[..], malformed_rest].concat();
        let (read, len) = reply(&bytes).expect("valid").expect("complete");
        assert_eq!((read, len), (Reply::Served { value: 4..12, report: None }, 0));
    }
    let (read, _) = reply(b"-BUSY\r\n").expect("valid").expect("complete");
    assert_eq!(read, Reply::Error(1..5));
}

#[test]
fn reply_parser_rejects_malformed_replies() {
    for bytes in [
        &b"+OK\r\n"[..],
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*2\r\n$1\r\na\r\n",
        b"$1\r\na\r\n",
        b"*3\r\n$x\r\n",
    ] {
        assert!(reply(bytes).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn numbers_and_bulk_strings_are_encoded() {
    let mut out = Vec::new();
    for n in [0, 7, 10, u64::MAX] {
        put_digits(&mut out, n);
        out.push(b' ');
    }
    assert_eq!(out, b"0 7 10 18446744073709551615 ");
    let mut out = Vec::new();
    put_bulk(&mut out, b"abc");
    assert_eq!(out, b"$3\r\nabc\r\n");
}

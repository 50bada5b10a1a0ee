use super::*;

const ASK: &[u8] = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n";

#[test]
fn a_command_is_read_only_when_whole() {
    for cut in 0..ASK.len() {
        assert_eq!(command(&ASK[..cut]), Ok(None), "{cut} bytes");
    }
    let read = command(ASK).expect("sound").expect("whole");
    assert_eq!(
        (read.count, read.len, read.part(ASK, 0), read.part(ASK, 1)),
        (2, ASK.len(), &b"PING"[..], &b""[..])
    );
    assert_eq!(read.part(ASK, 9), b"");
}

#[test]
fn what_is_no_command_is_broken_at_once() {
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
fn an_answer_gives_its_value_and_report() {
    let bytes = b"*3\r\n$2\r\nhi\r\n$-1\r\n$8\r\nutil=0.5\r\n";
    for cut in 0..bytes.len() {
        assert_eq!(reply(&bytes[..cut]), Ok(None), "{cut} bytes");
    }
    let (read, len) = reply(bytes).expect("sound").expect("whole");
    let Reply::Served { value, report: Some(report) } = read else { panic!("served") };
    assert_eq!((len, &bytes[value], &bytes[report]), (bytes.len(), &b"$2\r\nhi\r\n"[..], &b"util=0.5"[..]));
    for odd in [&b":7\r\n$-1\r\n"[..], b"$-1\r\n+util\r\n", b"$-1\r\n$9999999\r\n", b"$1\r\nabc", b"$-1\r\n#"]
    {
        let bytes = [&b"*3\r\n$2\r\nhi\r\n"[..], odd].concat();
        let (read, len) = reply(&bytes).expect("sound").expect("whole");
        assert_eq!((read, len), (Reply::Served { value: 4..12, report: None }, 0));
    }
    let (read, _) = reply(b"-BUSY\r\n").expect("sound").expect("whole");
    assert_eq!(read, Reply::Error(1..5));
}

#[test]
fn a_spoilt_answer_is_broken() {
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
fn numbers_are_written_out() {
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

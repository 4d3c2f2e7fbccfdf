"""Section 6: malformed input gets a clear error, costs bounded memory and does not stop an entry process."""

import json
import re
import socket
import unittest

import callers
from scenario import CARTLINE
from system_test import KEY, SystemTest

CHAT = "/v1/chat/completions"
AUTHORIZED = f"Authorization: Bearer {KEY}\r\n"
VALID = json.dumps(callers.chat_body(CARTLINE.model, "hello", 2))
CASES = (
    ("no_json", "POST", CHAT, AUTHORIZED, "{", 400, "malformed"),
    ("no_messages", "POST", CHAT, AUTHORIZED, '{"model":"dough-7b"}', 400, "malformed"),
    ("deep_nesting", "POST", CHAT, AUTHORIZED, "[" * 1000, 400, "malformed"),
    ("no_key", "POST", CHAT, "", VALID, 401, "unauthorized"),
    ("unknown_key", "POST", CHAT, "Authorization: Bearer nobody\r\n", VALID, 401, "unauthorized"),
    ("unknown_model", "POST", CHAT, AUTHORIZED, VALID.replace("dough-7b", "other"), 403, "forbidden"),
    ("deadline", "POST", CHAT, AUTHORIZED + "Siskinwharf-Deadline-Ms: -1\r\n", VALID, 400, "malformed"),
    ("request_id", "POST", CHAT, AUTHORIZED + "Siskinwharf-Request-Id: a/b\r\n", VALID, 400, "malformed"),
    ("method", "PUT", CHAT, AUTHORIZED, VALID, 405, "method_not_allowed"),
    ("path", "GET", "/nothing", AUTHORIZED, "", 404, "not_found"),
    ("order_without_key", "POST", "/services/orders/orders", AUTHORIZED, "{}", 400, "idempotency_key_missing"),
    ("encoded_path", "POST", "/services/orders/%6frders", AUTHORIZED, "{}", 400, "malformed"),
    ("large_header", "POST", CHAT, AUTHORIZED + f"X: {'x' * 20000}\r\n", VALID, 431, "header_too_large"),
    ("large_body", "POST", CHAT, AUTHORIZED, "x" * (2 << 20), 413, "body_too_large"),
)


def exchange(port, data, half_close=False):
    """Sends bytes and returns all that comes back until the connection ends."""
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        answer = b""
        try:
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            while part := connection.recv(65536):
                answer += part
        except ConnectionError:
            pass
        return answer.decode(errors="replace")


class MalformedRequests(SystemTest):
    def test_each_error(self):
        """Guards against input that is taken for something else or ends the process."""
        deployment = self.deploy()
        entry = "entry-kingston-1"
        port = self.port(deployment, entry)
        for name, method, path, headers, body, status, kind in CASES:
            with self.subTest(name):
                answer = exchange(port, (f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}"
                                         f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
                self.assertRegex(answer, rf"^HTTP/1\.1 {status} ")
                self.assertEqual(json.loads(re.split("\r\n\r\n", answer, maxsplit=1)[1])["error"]["type"], kind)
        for name, data in (("no_http", b"\x00\xff garbage\r\n\r\n"),
                           ("half_closed", b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"),
                           ("short_body", b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{")):
            with self.subTest(name):
                self.assertNotRegex(exchange(port, data, half_close=True), r"^HTTP/1\.1 2")
        status, body = callers.post(port, CHAT, json.loads(VALID), KEY)
        self.assertEqual(status, 200, body)
        self.assertTrue(deployment.processes[entry].running())


if __name__ == "__main__":
    unittest.main()

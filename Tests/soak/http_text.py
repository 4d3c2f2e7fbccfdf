"""The little of HTTP/1.1 that the soak's stand-ins and callers speak, over asyncio streams."""

import asyncio


class Broken(Exception):
    """The other side closed the connection or sent something that is not HTTP."""


async def read_head(reader):
    """Returns the first line, split, and the headers with lower-case names."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError) as error:
        raise Broken(str(error)) from error
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ValueError, ConnectionError, OSError) as error:
        raise Broken(str(error)) from error
    return data[:-2]


async def read_body(reader, headers):
    """Returns the whole body."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Broken(str(error)) from error


def message(first, headers, body=b""):
    """Returns the bytes of a message whose body has a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection without the usual end."""
    writer.transport.abort()

"""Stand-in for a network link: forwards TCP; paused by a signal, it is cut.

Run by hand: ``python -m standins.link --target 127.0.0.1:7000``.
"""

import asyncio
import contextlib

import click
import uvloop

CHUNK_BYTES = 65_536


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until one side ends.

    Args:
        reader: Where bytes come from.
        writer: Where they go to.
    """
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()


async def serve(host: str, port: int, target_host: str, target_port: int) -> None:
    """Forward connections until cancelled.

    Args:
        host: Address to listen on.
        port: Port, or 0 for one that the system chooses.
        target_host: Where to.
        target_port: Where to.
    """

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            there, back = await asyncio.open_connection(target_host, target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(copy(reader, back), copy(there, writer))

    server = await asyncio.start_server(accept, host, port)
    click.echo(f"port {server.sockets[0].getsockname()[1]}")
    await asyncio.Event().wait()


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0, type=int)
@click.option("--target", required=True)
def main(host: str, port: int, target: str) -> None:
    """Forward TCP connections; prints its port."""
    target_host, _, target_port = target.rpartition(":")
    uvloop.run(serve(host, port, target_host, int(target_port)))


if __name__ == "__main__":
    main()

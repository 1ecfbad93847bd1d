"""Stand-in for a network link: forwards TCP until its process is paused (SIGSTOP).

Run by hand: ``python -m standins.link --target 127.0.0.1:7000``.
"""

import asyncio
import contextlib

import click
import uvloop

CHUNK_BYTES = 65_536


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until either side closes its connection.

    Args:
        reader: Source.
        writer: Destination; closed at the end.
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
        port: Port to listen on, or 0 for a free one.
        target_host: Host to forward to.
        target_port: Port to forward to.
    """

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                target_host, target_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(copy(reader, target_writer), copy(target_reader, writer))

    server = await asyncio.start_server(accept, host, port)
    click.echo(f"port {server.sockets[0].getsockname()[1]}")
    await asyncio.Event().wait()


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0, type=int)
@click.option("--target", required=True)
def main(host: str, port: int, target: str) -> None:
    """Print the port and forward TCP connections to the target."""
    target_host, _, target_port = target.rpartition(":")
    uvloop.run(serve(host, port, target_host, int(target_port)))


if __name__ == "__main__":
    main()

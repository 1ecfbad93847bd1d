import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
SURVIVED = 7
LIBRARY = f"""
import os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.exit({SURVIVED})
"""


def test_reload_signal_while_libraries_are_loaded_does_not_end_the_process(tmp_path):
    """Guards against a process that ends because its settings changed as it started."""
    (tmp_path / "click.py").write_text(LIBRARY)
    deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = deployment["roles"]["entry"]["run"].split()
    result = subprocess.run(
        [sys.executable, *words[1:]],
        env={**os.environ, "PYTHONPATH": f"{tmp_path}:{ROOT}"},
        cwd=ROOT,
    )
    assert result.returncode != -signal.SIGHUP
    assert result.returncode == SURVIVED

"""Steps for the deploy file."""

import os
import re
import subprocess  # noqa: S404
import sys
import tomllib
from pathlib import Path
from shutil import copytree
from tempfile import mkdtemp

from behave import given, then, when

_ROOT = Path(__file__).resolve().parents[2]
_INSTALL_END = '; } && '
_COMPILED = re.compile(r'^# code object from (\S*bergamotturn\S*)$', re.M)
_SOURCE = re.compile(r'^# code object from (\S*bergamotturn\S*\.py)$', re.M)


@given('the compiled copy of the program that the build makes')
def compiled_copy(context):
    deploy = tomllib.loads((_ROOT / 'deploy' / 'system.toml').read_text())
    context.run_words = deploy['roles']['serve']['run'].split()
    context.folder = Path(mkdtemp())
    copytree(_ROOT / 'bergamotturn', context.folder / 'bergamotturn')
    (context.folder / 'target' / 'deps').mkdir(parents=True)
    # The libraries are installed already; the rest of the command is run.
    _, _, steps = deploy['build'].partition(_INSTALL_END)
    python = f'"{sys.executable}"'
    subprocess.run(  # noqa: S602
        steps.replace('python3', python),
        shell=True,
        check=True,
        cwd=context.folder,
    )


@when('the program is imported as the deploy file runs it')
def imported(context):
    _, *words = context.run_words
    options = words[: words.index('-m')]
    done = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-v',
            '-B',
            *options,
            '-c',
            'import bergamotturn.platform.daemon',
        ],
        cwd=context.folder,
        env={**os.environ, 'PYTHONPATH': 'target/deps'},
        capture_output=True,
        text=True,
        check=True,
    )
    context.trace = done.stderr


@then('all of its modules come from compiled code')
def from_compiled_code(context):
    loaded = _COMPILED.findall(context.trace)
    assert len(loaded) > 50, len(loaded)
    assert not _SOURCE.findall(context.trace), _SOURCE.findall(context.trace)

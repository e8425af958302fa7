#!/bin/bash
here=$(dirname "$0")
exec bash "$here/../run-case.sh" lost "$here"

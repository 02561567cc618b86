#!/usr/bin/env node
import process from 'node:process';
import {createProcessConsole, runOperator} from '../dist/src/index.js';

process.exitCode = await runOperator(process.argv, createProcessConsole());

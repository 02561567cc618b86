#!/usr/bin/env node
import process from 'node:process';
import {runCommandLine} from '../dist/src/command-line.js';

await runCommandLine(process.argv);

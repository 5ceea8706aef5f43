// Plays a recorded exchange against the running program over loopback sockets, one step per line.
//
// The simulated clients, workers and registry act only on a step, and a step that waits does so for an
// observed condition. `freeze` stops the program's process; what the steps send until `thaw` is then found by
// the program in a single iteration of its event loop, in the order of the steps.
//
// clang-format off
//   set PATH JSON       changes a setting; before the start
//   files N             limits the program's descriptors; before the start
//   worker W            adds a simulated worker
//   start               starts the program
//   c1 > TEXT           connects if necessary and sends a line; >> adds no line end; ~n~ is a line end, ~cr~ its first byte
//   c1 bytes TEXT       sends a line in segments of one byte; the program receives each before the next is sent
//   c1 connect          connects and sends nothing
//   c1 < TEXT [N]       the next line must be TEXT, within N ms; ~ stands for digits
//   W.1 < TEXT          the same for W's first call; W.1 > TEXT answers it
//   c1 fin | c1 rst     closes or aborts its side
//   c1 stall | c1 read  stops reading; resumes
//   c1 flood N          sends N numbered lines as fast as the program reads them, during the following steps
//   c1 held             part of its flood must be unsent
//   c1 takes N          the other side's flood of N lines must arrive completely and in order
//   c1 ends fin|rst [N] the program must close the connection this way within N ms
//   c1 partial TEXT     exactly TEXT must be received and not consumed, without a line end; it stays unconsumed
//   c1 discards fin|rst [N] the same, whatever was received before
//   crowd N TEXT        N further clients connect and send TEXT, or nothing without TEXT
//   W closed | W mute   refuses connections; does not answer probes
//   W full | W accept   its listen queue is full, so that connects hang; accepts connections again
//   W speaks            answers probes again, including pending ones
//   W probed            a probe must be pending
//   W drops             resets connections that carry no call yet
//   calls W N           exactly N calls have reached W
//   registry W STATE    reports W's state to the program's watch; registry 503: the next call fails
//   registry hold       calls are not answered until `registry release`
//   registry raw TEXT   answers the pending call with exactly TEXT
//   registry body TEXT  answers the pending call with a complete response that has TEXT as its body
//   registry fin|rst    closes or aborts the connection of the pending call
//   registry down|up    refuses connections and resets open ones; listens again at the same address
//   registry version N  sets the version of the next answer
//   reload registry     moves the registry to another address, which a new configuration names; SIGHUP
//   reload PATH JSON    the same with another value; `reload` alone removes the file, `reload TEXT` writes TEXT to it
//   version N           sets the version of the starting list; before the start; 1 by default
//   registry hush       the last request is never answered
//   heard TEXT          the same as `asked`, without waiting
//   asked TEXT          the path of the last request must begin with TEXT
//   log TEXT            must appear in the log
//   wait N              serves all connections for N milliseconds
//   quiet c1            nothing may have been received
//   signal NAME         TERM, INT, USR1, USR2, HUP
//   freeze | thaw       stops the program's process; continues it
//   running             the program must not have exited
//   counter NAME N      the value printed on USR1 or at exit; atleast NAME N: N or more
//   sockets N           sets limits.sockets of the configuration; before the start
//   descriptors N       from now on the program must not have more than N files and sockets open
//   allow N             limits the running program to N descriptors, beyond which accept fails with EMFILE
//   W answers TEXT      answers each further call with TEXT at once
//   flood N TEXT        as crowd, without waiting for connects to complete: some stay out of a full listen queue
//   crowd says TEXT     each client of the crowds sends a line; # in a crowd's text is the client's number
//   answered N TEXT [MS] N clients of crowds have TEXT (any: *) as their first line, and no reset, within MS ms
//   unanswered N [MS]   N clients of crowds were closed without a line
//   crowd fin | crowd rst each client of the crowds closes or aborts its side
//   restart             kills the program (SIGKILL) and starts it again at once, at the same port
//   fellows N           starts N further programs at once, at addresses of their own
//   ready N [MS]        N of the fellows have answered PING with PONG, within MS milliseconds
//   exit N [MS]         the program must exit with this code within MS milliseconds
//   registry piece TEXT sends TEXT as it is, with or without a pending call; ~address W~ is worker W's address
//   registry full|accept its listen queue is full, so that connects hang; accepts connections again
//   registry within N   the next call must arrive within N ms from here; `asked` checks which it is
//   registry joins N    exactly N connections were accepted by the registry
//   registry ends fin|rst [N] the program must close the connection of the pending call this way
//   logged N TEXT       appears in the log exactly N times
//   unreachable N       adds N workers without a listener to the starting list; before the start
//   start held          starts the program, which waits for its configuration until the step `configure`
//   configure           provides the configuration, without waiting for the program to be ready
//   storm NAME          sends the signal repeatedly until the program has exited
//   kill                SIGKILL, and waits for the exit
//   restart             after an exit: starts the program again at the same port, and waits until it listens
//   c1 narrow           connects with a small receive buffer, so that the program soon has to buffer output
//   c1 refused          a connection to the program's port must be refused
//   W.1 fill TEXT       repeats the line until the program has read nothing for 100 ms
//   c1 last TEXT [N]    its connection must be closed in order, with TEXT at the end of the last line
//   others N MS         starts N further programs together; each must answer PING with PONG within MS milliseconds
// clang-format on
#pragma once

#include <filesystem>

namespace marblehub::test {

/// Executes the steps of a file. A step that fails fails the running test case, with the file and line.
void play_exchange(const std::filesystem::path& file);

}  // namespace marblehub::test

// Plays a recorded exchange against the started program over loopback sockets: one step a line.
//
// The stand-in client, worker and service discovery act only when a step says so, and each step that waits
// does so for an observed state, not for a time. `freeze` stops the program's process; whatever the steps
// send until `thaw` is then found by the program in a single turn of its loop, in the order of the steps.
//
// clang-format off
//   set PATH JSON       a setting, before the start
//   files N             descriptors allowed, before the start
//   worker W            a stand-in worker
//   start               starts the program
//   c1 > TEXT           c1 connects if need be and sends a line; >> sends no line end; ~n~ is one, ~cr~ its half
//   c1 bytes TEXT       the same line, one byte a segment, each taken by the program before the next is sent
//   c1 connect          connects and sends nothing
//   c1 < TEXT [N]       must come next, within N ms; ~ stands for digits
//   W.1 < TEXT          the same at W's first call; W.1 > TEXT is its answer
//   c1 fin | c1 rst     ends its side
//   c1 stall | c1 read  stops reading; reads again
//   c1 flood N          N numbered lines, sent as fast as the program takes them, beside the steps that follow
//   c1 held             not all of its flood has been taken
//   c1 takes N          the whole of the other side's flood of N lines must come, in order
//   c1 ends fin|rst [N] the program must end it like this, within N ms
//   c1 discards fin|rst [N]  the same, whatever has come before
//   crowd N TEXT        N further clients connect and send TEXT; with no TEXT they send nothing
//   W closed | W mute   refuses calls; answers no probe
//   W full | W accept   its listen queue is full, so that connects hang; takes connections again
//   W speaks            answers probes again, also those that are out
//   W probed            a probe must have come that is not answered yet
//   W drops             connections that have come and carry no call yet are reset
//   calls W N           so many calls have reached W, no more and no fewer
//   registry W STATE    told to the program's watch; registry 503: the next call fails
//   registry hold       no call is answered until `registry release`
//   registry raw TEXT   the call that is out is answered with exactly this
//   registry body TEXT  the same as the body of a complete answer
//   registry fin|rst    the connection of the call that is out ends
//   registry down|up    its address refuses connections, and open ones are reset; it listens there again
//   registry version N  of the next answer
//   reload registry     the registry moves to another address, which a new configuration names; SIGHUP
//   reload PATH JSON    the same with another value; "reload" alone takes the file away, with a text writes it
//   version N           of the list it starts with, before the start; 1 unless said
//   registry hush       what it was asked last is never answered
//   heard TEXT          the same as asked, and it has been asked by now
//   asked TEXT          what the registry is asked last must come to begin with
//   log TEXT            must come to stand in the log
//   wait N              milliseconds, and all goes on
//   quiet c1            nothing may have come
//   signal NAME         TERM, INT, USR1, USR2, HUP
//   freeze | thaw       the program's process is stopped; goes on
//   running             the program has not exited
//   counter NAME N      printed on USR1 or at exit; atleast NAME N: N or more
//   sockets N           limits.sockets of the configuration, before the start
//   descriptors N       from now on the program is never seen with more than N files and sockets open
//   allow N             the running program may open no file or socket beyond N: its accepts fail with EMFILE
//   W answers TEXT      each call that reaches W from now on is answered with TEXT at once
//   flood N TEXT        as crowd, without waiting for a connection to be let in: some stay out of a full listen queue
//   crowd says TEXT     each client of the crowds sends a line; # in the text of a crowd is its client's number
//   answered N TEXT [MS]  N clients of crowds have got TEXT (any: *) as their first line and no reset, within MS ms
//   unanswered N [MS]   N clients of crowds have been ended with no line
//   crowd fin | crowd rst  each client of the crowds ends its side
//   restart             the program is killed (SIGKILL) and started again at once, at the same port
//   fellows N           N further programs are started at once, at addresses of their own
//   ready N [MS]        N of the fellows have answered PING with PONG, within MS milliseconds
//   exit N [MS]         the program must exit so, within MS milliseconds
//   registry piece TEXT sent as it is, whether or not a call is out; ~address W~ is where worker W listens
//   registry full|acceptits listen queue is full, so that connects hang; takes connections again
//   registry within N   the next call must have come within N ms, counted from here; `asked` tells which it is
//   registry joins N    so many connections have been taken by the registry, no more and no fewer
//   registry ends fin|rst [N]  the program must end the connection of the call that is out like this
//   logged N TEXT       stands in the log N times, no more and no fewer
//   unreachable N       N further workers in the list of the start, where nobody listens; before the start
//   start held          starts the program, which waits for its configuration until the step `configure`
//   configure           hands it over; the program starts as usual, but the step does not wait for it
//   storm NAME          sends the signal again and again, without a pause, until the program has ended
//   kill                SIGKILL, and waits until the program has ended
//   restart             starts the program that has ended again, on the same port, and waits until it listens
//   c1 narrow           connects with a small receive buffer, so that the program soon keeps what it cannot send
//   c1 refused          a connection to the program's port is refused
//   W.1 fill TEXT       sends the line again and again until the program has taken no more for 100 ms
//   c1 last TEXT [N]    its connection ends in order, and the last line that has come ends with TEXT
//   others N MS         N further programs start together; each answers PING with PONG within MS milliseconds
// clang-format on
#pragma once

#include <filesystem>

namespace marblehub::test {

// Plays every step of the file; a step that fails fails the running test case with the file and line.
void play_exchange(const std::filesystem::path& file);

}  // namespace marblehub::test

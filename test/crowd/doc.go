// Package crowd has tests of what crowds of clients that send too much, or never
// finish, cost the processes of the system. They run real processes on loopback.
//
// Each test starts one process, opens a crowd at it, and makes one ordinary
// request while the crowd is open and another one after the crowd has gone. It
// checks that the process lives, that both requests are answered, that peak
// memory and open file descriptors stay within the configured limits, and that no
// refused work took effect. Nothing that depends on the speed of the machine is
// checked.
package crowd

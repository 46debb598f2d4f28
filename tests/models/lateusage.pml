/* The records of usage reports, with writes that the store executes late. Checks that no window is reported with two
 * different counts. The holder may end at any step, and counts of a window may change until it is recorded.
 * Mutations: ONE_RECORD (one record for all windows), NEW_COUNTS (a repeated write has the latest counts). */

#define WINDOWS 3
#define HOLDERS 2
#define CHANGES 2

/* The store: counts in the record of each window, 0 if there is none. */
byte record[WINDOWS + 1];

byte holder = 1;  /* number of the current holder */
byte counts = 1;  /* latest counts, of any window */
byte changes = 0;

/* A write that was not answered and may be executed later. */
bool isLate = false;
byte lateHolder = 0;
byte lateWindow = 0;
byte lateCounts = 0;

/* Counts that were reported for a window; 0 if none were. */
byte reported[WINDOWS + 1];

inline execute(window, value) {
#ifdef ONE_RECORD
    record[1] = 0;
    record[2] = 0;
    record[3] = 0;
#endif
    record[window] = value
}

inline report(window, value) {
    assert(reported[window] == 0 || reported[window] == value);
    reported[window] = value
}

active proctype Holder() {
    byte window;        /* latest recorded window that is known */
    byte attempted = 0; /* window of the latest write */
    byte value = 0;     /* counts of the latest write */
load:
    atomic {
        window = 0;
        if :: record[1] > 0 -> report(1, record[1]); window = 1 :: else fi;
        if :: record[2] > 0 -> report(2, record[2]); window = 2 :: else fi;
        if :: record[3] > 0 -> report(3, record[3]); window = 3 :: else fi
    };
    do
    :: atomic { changes < CHANGES -> changes++; counts++ }
    :: window < WINDOWS ->
        atomic {
#ifndef NEW_COUNTS
            if
            :: attempted == window + 1 -> skip
            :: else -> value = counts
            fi;
#else
            value = counts;
#endif
            attempted = window + 1
        };
        if
        :: atomic { execute(attempted, value); window = attempted; report(window, value) }
        :: execute(attempted, value); goto load /* the answer is lost */
        :: atomic { !isLate ->
                isLate = true;
                lateHolder = holder;
                lateWindow = attempted;
                lateCounts = value
            };
            goto load
        fi
    :: atomic { holder < HOLDERS -> holder++; attempted = 0; counts++ }; goto load
    :: window == WINDOWS -> break
    od
}

active proctype Store() {
end:
    do
    :: atomic { isLate ->
            if
            :: lateHolder == holder -> execute(lateWindow, lateCounts)
            :: else
            fi;
            isLate = false
        }
    od
}

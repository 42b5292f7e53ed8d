/* What the stand-in's commands and those who send them share. */
#pragma once

/* In a command this and the number of a service mean the service's leader at that time. */
#define STANDIN_PRIMARY_OF 100

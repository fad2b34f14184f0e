#include "dandelioncrank/replica/replica.hpp"
